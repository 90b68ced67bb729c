package gladelug.common;

/** An IP number and a port. Names are never looked up: a process knows others by number only. */
public record Address(String host, int port) {
  public static Result<Address> parse(String text, String place) {
    int c = text.lastIndexOf(':');
    if (c <= 0) return Result.bad(place, "must be IP:PORT, not " + text);
    String h = text.substring(0, c);
    int p;
    try {
      p = Integer.parseInt(text.substring(c + 1));
    } catch (NumberFormatException e) {
      return Result.bad(place, "has no port number: " + text);
    }
    if (p < 0 || p > 65535) return Result.bad(place, "port must be from 0 to 65535: " + text);
    if (ipv4ToLong(h) < 0) return Result.bad(place, "must be an IP number, not a name: " + h);
    return Result.good(new Address(h, p));
  }

  public static Address of(String text) {
    if (parse(text, "address") instanceof Result.Good<Address> g) return g.value();
    throw new IllegalArgumentException("not an address: " + text);
  }

  public static Address read(LocatedJson.Fields f, String name, Findings findings) {
    return read(f.text(name), f.place(name), findings);
  }

  public static Address read(String text, String place, Findings findings) {
    Result<Address> r = parse(text, place);
    if (r instanceof Result.Good<Address> g) return g.value();
    if (!text.isEmpty())
      for (Finding x : ((Result.Bad<Address>) r).findings()) findings.add(x.place(), x.what());
    return new Address("0.0.0.0", 0);
  }

  /** The IPv4 number, or -1 where it is none. */
  public static long ipv4ToLong(String h) {
    String[] ps = h.split("\\.", -1);
    if (ps.length != 4) return -1;
    long n = 0;
    for (String p : ps) {
      if (p.isEmpty() || p.length() > 3) return -1;
      int v = 0;
      for (int i = 0; i < p.length(); i++) {
        char c = p.charAt(i);
        if (c < '0' || c > '9') return -1;
        v = v * 10 + c - '0';
      }
      if (v > 255) return -1;
      n = n << 8 | v;
    }
    return n;
  }

  // Written out: a record's own link themselves by method handles when first used, tens of ms of a
  // process's start.
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
