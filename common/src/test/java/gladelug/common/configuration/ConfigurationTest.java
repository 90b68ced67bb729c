package gladelug.common.configuration;

import static gladelug.common.configuration.Configuration.hashKey;
import static gladelug.common.configuration.Configuration.leafPath;
import static gladelug.common.configuration.Configuration.parse;

import gladelug.common.Result;
import gladelug.common.configuration.Configuration.Tenant;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests of Configuration. */
final class ConfigurationTest {
  @Test
  void aGoodConfigurationIsIndexed() {
    String h = hashKey("k1");
    Configuration configuration =
        ((Result.Good<Configuration>)
                parse(
                    """
                {"services": [{"name": "m", "allow": ["127.0.0.0/8"]}],
                 "mappings": [{"name": "a", "path": "/a", "service": "m"}, {"name": "b", "path": "/b",
                   "service": "m", "repeatable": true}],
                 "tenants": [{"name": "t", "keys": ["sha256:%s"], "shares": [{"name": "x", "mappings": ["a"]}]}]}"""
                        .formatted(h)))
            .value();
    Tenant t = configuration.tenantByKeyHash(h);
    Assertions.assertEquals("t/x", leafPath(t, configuration.route("/a")));
    Assertions.assertEquals("t", leafPath(t, configuration.route("/b")));
    Assertions.assertTrue(configuration.route("/b").repeatable());
  }

  @Test
  void aShareTreeThatCannotBeMetIsTold() {
    String text =
        parse(
                """
                {"services": [{"name": "m", "allow": ["1.1.1.1"]}], "mappings": [{"name": "a", "path": "/a",
                  "service": "m"}, {"name": "b", "path": "/b", "service": "m"}],
                 "tenants": [{"name": "t", "keys": [], "limit": 4, "shares": [{"name": "x", "limit": 9,
                   "mappings": ["a"]}, {"name": "x", "mappings": ["a"]},
                  {"name": "y", "limit": 2, "mappings": ["b"], "shares": [{"name": "z", "limit": 3}]}]}]}""")
            .toString();
    for (String w :
        new String[] {
          "the limit 9 of t/x is above",
          "two shares are named x",
          "mapping a is in two shares",
          "belong to shares at the leaves",
          "the limit 3 of t/y/z is above"
        }) Assertions.assertTrue(text.contains(w), w + " in " + text);
  }

  @Test
  void allMistakesAreReportedTogether() {
    String text =
        parse(
                """
                {"services": [{"name": "m", "allow": ["somewhere"]}, {"name": "m", "allow": []}],
                 "mappings": [{"name": "a", "path": "a", "service": "none", "expiryMs": 1}],
                 "tenants": [{"name": "t", "keys": ["secret"], "shares": [{"name": "x", "mappings": ["zz"],
                   "wait": 1}]}],
                 "extra": 1}""")
            .toString();
    for (String w :
        new String[] {
          "must be IP",
          "two services are named m",
          "names no service",
          "must begin with a slash",
          "from 50 to 600000",
          "never the key itself",
          "no mapping of this policy: zz",
          "tenants[0].shares[0].wait",
          "(extra): is not a known field"
        }) Assertions.assertTrue(text.contains(w), w + " in " + text);
  }
}
