package gladelug.common.connection;

import gladelug.common.Address;
import gladelug.common.Findings;
import gladelug.common.Settings;
import io.vertx.core.net.ClientOptionsBase;

/**
 * The IP number a process listens on and calls from. It is that of its advertised addresses, or
 * another where a machine has several (the setting bind); others only ever hear the advertised one.
 */
public record BindAddress(String ip) {
  /** From the setting bind, else from the records address. */
  public static BindAddress of(Settings settings, Address records) {
    String b = settings.text("bind", "");
    Findings findings = settings.findings;
    if (isWildcard(records.host()))
      findings.add("--records", "is what others call, so it can't be " + records.host());
    if (b.isEmpty()) return new BindAddress(records.host());
    if (Address.ipv4ToLong(b) < 0)
      findings.add("--bind", "must be an IP number without a port, not " + b);
    return new BindAddress(b);
  }

  private static boolean isWildcard(String host) {
    return host.equals("0.0.0.0");
  }

  /** Where to listen for what is advertised as this. */
  public Address listenAddress(Address advertised) {
    return new Address(ip, advertised.port());
  }

  public <T extends ClientOptionsBase> T withLocalAddress(T options) {
    if (!isWildcard(ip)) options.setLocalAddress(ip);
    return options;
  }
}
