package gladelug.common.configuration;

import gladelug.common.Address;
import gladelug.common.Result;

/**
 * One place a service may be called at: an address block and the ports in it, written
 * "10.1.2.0/24:8000-8999", "10.1.2.3:8080" or "10.1.2.0/24" for any port.
 */
public record AllowedEndpoint(long network, int prefixLength, int firstPort, int lastPort) {
  public static Result<AllowedEndpoint> parse(String text, String place) {
    String h = text;
    int lo = 1, hi = 65535, bits = 32;
    try {
      int c = h.indexOf(':');
      if (c >= 0) {
        String[] ps = h.substring(c + 1).split("-", -1);
        lo = Integer.parseInt(ps[0]);
        hi = ps.length > 1 ? Integer.parseInt(ps[1]) : lo;
        h = h.substring(0, c);
        if (ps.length > 2) lo = -1;
      }
      int sl = h.indexOf('/');
      if (sl >= 0) {
        bits = Integer.parseInt(h.substring(sl + 1));
        h = h.substring(0, sl);
      }
    } catch (NumberFormatException e) {
      lo = -1;
    }
    long n = Address.ipv4ToLong(h);
    if (n < 0 || bits < 0 || bits > 32 || lo < 1 || hi > 65535 || lo > hi)
      return Result.bad(place, "must be IP, IP/BITS, either with :PORT or :LOW-HIGH, not " + text);
    return Result.good(new AllowedEndpoint(n & mask(bits), bits, lo, hi));
  }

  public boolean allows(Address address) {
    long n = Address.ipv4ToLong(address.host());
    return n >= 0
        && (n & mask(prefixLength)) == network
        && address.port() >= firstPort
        && address.port() <= lastPort;
  }

  private static long mask(int bits) {
    return bits == 0 ? 0 : 0xffffffffL << (32 - bits) & 0xffffffffL;
  }
}
