package gladelug.common.configuration;

import gladelug.common.Address;
import gladelug.common.Result;

/**
 * The addresses and ports at which a service may be called, written "10.1.2.0/24:8000-8999",
 * "10.1.2.3:8080" or, for any port, "10.1.2.0/24".
 *
 * @param network the IPv4 network address as an unsigned 32-bit number
 * @param prefixLength number of leading bits that addresses have in common with the network
 * @param firstPort the lowest allowed port
 * @param lastPort the highest allowed port
 */
public record AllowedEndpoint(long network, int prefixLength, int firstPort, int lastPort) {
  public static Result<AllowedEndpoint> parse(String text, String place) {
    String host = text;
    int firstPort = 1, lastPort = 65535, prefixLength = 32;
    try {
      int colon = host.indexOf(':');
      if (colon >= 0) {
        String[] ports = host.substring(colon + 1).split("-", -1);
        firstPort = Integer.parseInt(ports[0]);
        lastPort = ports.length > 1 ? Integer.parseInt(ports[1]) : firstPort;
        host = host.substring(0, colon);
        if (ports.length > 2) firstPort = -1;
      }
      int slash = host.indexOf('/');
      if (slash >= 0) {
        prefixLength = Integer.parseInt(host.substring(slash + 1));
        host = host.substring(0, slash);
      }
    } catch (NumberFormatException e) {
      firstPort = -1;
    }
    long network = Address.ipv4ToLong(host);
    if (network < 0
        || prefixLength < 0
        || prefixLength > 32
        || firstPort < 1
        || lastPort > 65535
        || firstPort > lastPort)
      return Result.bad(
          place, "must be IP or IP/BITS, optionally followed by :PORT or :LOW-HIGH, not " + text);
    return Result.good(
        new AllowedEndpoint(network & mask(prefixLength), prefixLength, firstPort, lastPort));
  }

  public boolean allows(Address address) {
    long ip = Address.ipv4ToLong(address.host());
    return ip >= 0
        && (ip & mask(prefixLength)) == network
        && address.port() >= firstPort
        && address.port() <= lastPort;
  }

  private static long mask(int prefixLength) {
    return prefixLength == 0 ? 0 : 0xffffffffL << (32 - prefixLength) & 0xffffffffL;
  }
}
