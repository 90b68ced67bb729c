package gladelug.control.operator;

import com.eclipsesource.json.Json;
import gladelug.common.Findings;
import gladelug.common.LocatedJson;
import gladelug.common.Log;
import gladelug.common.Result;
import gladelug.control.core.CoreService;
import io.vertx.mutiny.ext.web.RoutingContext;

/** Replaces a member of the core by a machine that asked to join; runs at the owner of members. */
final class MemberReplacementHandler {
  private final CoreService core;

  MemberReplacementHandler(CoreService core) {
    this.core = core;
  }

  private record ReplacementRequest(String out, String in) {
    static Result<ReplacementRequest> parse(String body) {
      return LocatedJson.parse(body == null ? "" : body)
          .flatMap(
              json -> {
                Findings findings = new Findings();
                LocatedJson.Fields fields = json.fields(findings);
                ReplacementRequest replacement =
                    new ReplacementRequest(fields.text("out"), fields.text("in"));
                fields.reportUnknownFields();
                return Result.of(findings, () -> replacement);
              });
    }
  }

  /** Begins the replacement; answers before it is through. */
  void replace(RoutingContext context) {
    Result<ReplacementRequest> body = ReplacementRequest.parse(context.body().asString());
    if (body instanceof Result.Bad<ReplacementRequest> bad) {
      JsonResponses.sendFindings(context, bad.findings());
      return;
    }
    ReplacementRequest replacement = ((Result.Good<ReplacementRequest>) body).value();
    core.ask(
            member ->
                member.replaceMember(
                    replacement.out,
                    replacement.in,
                    result -> Log.event("swap-written", "answer", result)))
        .subscribe()
        .with(
            refusal -> {
              if (refusal.isEmpty())
                JsonResponses.send(
                    context,
                    202,
                    Json.object()
                        .add("outcome", "begun")
                        .add("out", replacement.out)
                        .add("in", replacement.in));
              else JsonResponses.sendNotApplied(context, 409, refusal);
            },
            failure -> context.fail(500, failure));
  }
}
