/*
 * The IP number a process listens on and calls from. It is that of its advertised addresses, or
 * another where a machine has several (the setting bind); others only ever hear the advertised one.
 */
package gladelug.kernel.circuit;

import gladelug.kernel.Address;
import gladelug.kernel.Findings;
import gladelug.kernel.Result;
import gladelug.kernel.Settings;
import io.vertx.core.net.ClientOptionsBase;
import java.util.Map;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

public record Local(String ip) {
    /** From the setting bind, else from the records address. */
    public static Local of(Settings s, Address records) {
        String b = s.text("bind", "");
        Findings fs = s.findings;
        if (wild(records.host())) fs.add("--records", "is what others call, so it can't be " + records.host());
        if (b.isEmpty()) return new Local(records.host());
        if (Address.number(b) < 0) fs.add("--bind", "must be an IP number without a port, not " + b);
        return new Local(b);
    }

    private static boolean wild(String host) {
        return host.equals("0.0.0.0");
    }

    /** Where to listen for what is advertised as this. */
    public Address at(Address advertised) {
        return new Address(ip, advertised.port());
    }

    public <T extends ClientOptionsBase> T from(T options) {
        if (!wild(ip)) options.setLocalAddress(ip);
        return options;
    }

    static final class Tests {
        private static String findings(String bind, String records) {
            Settings s = ((Result.Good<Settings>) Settings.open(null, Map.of("bind", bind))).value();
            of(s, Address.of(records));
            return s.findings.list().toString();
        }

        @Test void whatCantFitIsAFinding() {
            Assertions.assertEquals("[]", findings("127.0.0.2", "127.0.0.1:7000"));
            Assertions.assertEquals("[]", findings("0.0.0.0", "127.0.0.1:7000"));
            Assertions.assertTrue(findings("here", "127.0.0.1:7000").contains("must be an IP number without a port"));
            Assertions.assertTrue(findings("127.0.0.2:80", "127.0.0.1:7000").contains("must be an IP number"));
            Assertions.assertTrue(findings("127.0.0.2", "0.0.0.0:7000").contains("is what others call"));
        }
    }
}
