package gladelug.control.operator;

import gladelug.common.Address;
import gladelug.control.core.CoreMember;
import gladelug.control.core.CoreService;
import gladelug.control.core.KeyStatus;
import gladelug.control.core.config.MemberSet;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.RoutingContext;
import io.vertx.mutiny.ext.web.client.HttpRequest;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.util.function.Consumer;

/**
 * Passes on what only a key's owner can tell to that owner's listener, whichever machine the
 * operator called; a call is passed on once at most.
 */
final class OwnerForwarding {
  private static final String FORWARDED_HEADER = "Gladelug-Forwarded";
  private static final long TIMEOUT_MS = 5000;

  /** Where the owner is: this member; what no address can be: not known. */
  private static final String THIS_MEMBER = "", UNKNOWN_OWNER = "none";

  private final CoreService core;
  private final WebClient client;

  OwnerForwarding(CoreService core, WebClient client) {
    this.core = core;
    this.client = client;
  }

  /**
   * As {@link #handleAtOwner}, once a majority has confirmed after the question that the owner
   * still is one; an owner that is cut off has not yet learned of its successor.
   */
  void handleAtConfirmedOwner(
      RoutingContext context, String key, Consumer<RoutingContext> handler) {
    handleAtOwner(
        context,
        key,
        owned ->
            core.readNewest(key)
                .flatMap(newest -> core.ask(member -> newest.hasOwner() && member.owns(key)))
                .subscribe()
                .with(
                    confirmed -> {
                      if (confirmed) handler.accept(owned);
                      else JsonResponses.sendNoOwner(owned);
                    },
                    failure -> context.fail(500, failure)));
  }

  /** Runs the handler where this member owns the key, else answers as the owner does. */
  void handleAtOwner(RoutingContext context, String key, Consumer<RoutingContext> handler) {
    core.ask(member -> findOwner(member, key))
        .subscribe()
        .with(
            owner -> {
              boolean forwarded = context.request().getHeader(FORWARDED_HEADER) != null;
              if (owner.equals(THIS_MEMBER)) handler.accept(context);
              else if (owner.equals(UNKNOWN_OWNER) || forwarded) JsonResponses.sendNoOwner(context);
              else forward(context, owner);
            },
            failure -> context.fail(500, failure));
  }

  private static String findOwner(CoreMember member, String key) {
    if (member.owns(key)) return THIS_MEMBER;
    String name =
        member.keyStatuses().stream()
            .filter(status -> status.key().equals(key))
            .map(KeyStatus::owner)
            .findFirst()
            .orElse("");
    MemberSet.Member owner = member.members().find(name);
    return owner == null ? UNKNOWN_OWNER : owner.operatorAddress().toString();
  }

  private void forward(RoutingContext context, String owner) {
    Address address = Address.of(owner);
    HttpRequest<Buffer> request =
        client
            .request(
                context.request().method(), address.port(), address.host(), context.request().uri())
            .timeout(TIMEOUT_MS)
            .putHeader(FORWARDED_HEADER, "yes");
    Buffer body = context.body().buffer();
    (body == null ? request.send() : request.sendBuffer(body))
        .subscribe()
        .with(
            response -> copyResponse(context, response),
            failure ->
                JsonResponses.sendUnknown(
                    context, 504, "the owner at " + owner + " did not answer"));
  }

  private static void copyResponse(RoutingContext context, HttpResponse<Buffer> response) {
    if (response.getHeader("ETag") != null)
      context.response().putHeader("ETag", response.getHeader("ETag"));
    context
        .response()
        .setStatusCode(response.statusCode())
        .putHeader("Content-Type", "application/json")
        .endAndForget(response.bodyAsString() == null ? "" : response.bodyAsString());
  }
}
