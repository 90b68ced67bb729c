package gladelug.common.connection;

import gladelug.common.Address;
import gladelug.common.Findings;
import gladelug.common.Settings;
import io.vertx.core.net.ClientOptionsBase;

/**
 * The IP address that a process listens on and connects from. By default it is that of the
 * advertised addresses; the setting "bind" selects another one on machines that have several. Peers
 * only learn the advertised address.
 */
public record BindAddress(String ip) {
  /** Returns the address in the setting "bind", else that of the records address. */
  public static BindAddress of(Settings settings, Address records) {
    String bind = settings.text("bind", "");
    Findings findings = settings.findings;
    if (isWildcard(records.host()))
      findings.add("--records", "is what others call, so it can't be " + records.host());
    if (bind.isEmpty()) return new BindAddress(records.host());
    if (Address.ipv4ToLong(bind) < 0)
      findings.add("--bind", "must be an IP number without a port, not " + bind);
    return new BindAddress(bind);
  }

  private static boolean isWildcard(String host) {
    return host.equals("0.0.0.0");
  }

  /** Returns the address to listen on for an advertised address. */
  public Address listenAddress(Address advertised) {
    return new Address(ip, advertised.port());
  }

  /** Makes outgoing connections use this address unless it is the wildcard address. */
  public <T extends ClientOptionsBase> T withLocalAddress(T options) {
    if (!isWildcard(ip)) options.setLocalAddress(ip);
    return options;
  }
}
