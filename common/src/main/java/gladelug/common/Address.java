package gladelug.common;

/** An IPv4 address and a port. Host names are not supported, so no address needs a lookup. */
public record Address(String host, int port) {
  public static Result<Address> parse(String text, String place) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) return Result.bad(place, "must be IP:PORT, not " + text);
    String host = text.substring(0, colon);
    int port;
    try {
      port = Integer.parseInt(text.substring(colon + 1));
    } catch (NumberFormatException e) {
      return Result.bad(place, "must end with a port number: " + text);
    }
    if (port < 0 || port > 65535) return Result.bad(place, "port must be from 0 to 65535: " + text);
    if (ipv4ToLong(host) < 0) return Result.bad(place, "must be an IP number, not a name: " + host);
    return Result.good(new Address(host, port));
  }

  public static Address of(String text) {
    if (parse(text, "address") instanceof Result.Good<Address> good) return good.value();
    throw new IllegalArgumentException("not an address: " + text);
  }

  public static Address read(LocatedJson.Fields fields, String name, Findings findings) {
    return read(fields.text(name), fields.place(name), findings);
  }

  public static Address read(String text, String place, Findings findings) {
    Result<Address> result = parse(text, place);
    if (result instanceof Result.Good<Address> good) return good.value();
    if (!text.isEmpty())
      for (Finding finding : ((Result.Bad<Address>) result).findings())
        findings.add(finding.place(), finding.what());
    return new Address("0.0.0.0", 0);
  }

  /** Returns the IPv4 address as an unsigned 32-bit number, or -1 if the text is not one. */
  public static long ipv4ToLong(String host) {
    String[] octets = host.split("\\.", -1);
    if (octets.length != 4) return -1;
    long address = 0;
    for (String octet : octets) {
      if (octet.isEmpty() || octet.length() > 3) return -1;
      int value = 0;
      for (int i = 0; i < octet.length(); i++) {
        char c = octet.charAt(i);
        if (c < '0' || c > '9') return -1;
        value = value * 10 + c - '0';
      }
      if (value > 255) return -1;
      address = address << 8 | value;
    }
    return address;
  }

  // Explicit, because a record's generated methods are linked by method handles on first use, which
  // adds tens of ms to a process's start.
  @Override
  public boolean equals(Object o) {
    return o instanceof Address address && port == address.port && host.equals(address.host);
  }

  @Override
  public int hashCode() {
    return 31 * host.hashCode() + port;
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
