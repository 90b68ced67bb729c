package gladelug.control.operator;

import gladelug.common.LocatedJson;
import gladelug.common.Result;
import gladelug.common.configuration.Configuration;
import gladelug.common.message.StateKeys;
import gladelug.control.core.CoreService;
import gladelug.control.core.message.ChangeRequest;
import gladelug.control.core.message.ChangeResult;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.time.Duration;

/** Configurations sent whole under If-Match, and the newest values of all keys. */
final class ConfigurationHandler {
  private static final Duration CHANGE_TIMEOUT = Duration.ofSeconds(15);

  private final CoreService core;

  ConfigurationHandler(CoreService core) {
    this.core = core;
  }

  /** Replaces the configuration by the one that was sent, if that is valid. */
  void replace(RoutingContext context) {
    IfMatch ifMatch = IfMatch.parse(context);
    if (ifMatch.kind() == IfMatch.Kind.ABSENT) {
      JsonResponses.sendNotApplied(
          context,
          428,
          "say with If-Match which number this configuration is based on, or * to replace whatever is there");
      return;
    }
    byte[] body =
        context.body().buffer() == null ? new byte[0] : context.body().buffer().getBytes();
    Result<Configuration> parsed =
        ifMatch.kind() == IfMatch.Kind.INVALID
            ? Result.bad(IfMatch.INVALID_FINDING.place(), IfMatch.INVALID_FINDING.what())
            : LocatedJson.decodeUtf8(body).flatMap(Configuration::parse);
    if (parsed instanceof Result.Bad<Configuration> bad) {
      JsonResponses.sendFindings(context, bad.findings());
      return;
    }
    core.change(ChangeRequest.basedOnNumber(StateKeys.CONFIGURATION, ifMatch.number(), body))
        .ifNoItem()
        .after(CHANGE_TIMEOUT)
        .recoverWithItem(
            new ChangeResult.Unknown(
                ifMatch.hasNumber() ? ifMatch.number() + 1 : IfMatch.ANY_NUMBER))
        .subscribe()
        .with(
            result -> JsonResponses.sendChangeResult(context, result),
            failure -> context.fail(500, failure));
  }

  /** A key's newest value, as its owner has it once a majority has confirmed that it is one. */
  void showNewest(RoutingContext context, String key) {
    core.readNewest(key)
        .subscribe()
        .with(
            newest -> {
              if (newest.hasOwner()) JsonResponses.sendValue(context, newest);
              else JsonResponses.sendNoOwner(context);
            },
            failure -> context.fail(500, failure));
  }
}
