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
 * Forwards requests that only a key's owner can answer to the owner's operator endpoint. A request
 * is forwarded at most once.
 */
final class OwnerForwarding {
  private static final String FORWARDED_HEADER = "Gladelug-Forwarded";
  private static final long TIMEOUT_MS = 5000;

  /**
   * Results of {@link #findOwner} beside addresses: this member owns the key; the owner is unknown.
   */
  private static final String THIS_MEMBER = "", UNKNOWN_OWNER = "none";

  private final CoreService core;
  private final WebClient client;

  OwnerForwarding(CoreService core, WebClient client) {
    this.core = core;
    this.client = client;
  }

  /**
   * Like {@link #handleAtOwner}, but only after a majority has confirmed, since the request
   * arrived, that the owner still owns the key; a partitioned owner does not know of its successor
   * yet.
   */
  void handleAtConfirmedOwner(
      RoutingContext context, String key, Consumer<RoutingContext> handler) {
    handleAtOwner(
        context,
        key,
        ownerContext ->
            core.readNewest(key)
                .flatMap(newest -> core.ask(member -> newest.hasOwner() && member.owns(key)))
                .subscribe()
                .with(
                    confirmed -> {
                      if (confirmed) handler.accept(ownerContext);
                      else JsonResponses.sendNoOwner(ownerContext);
                    },
                    failure -> context.fail(500, failure)));
  }

  /** Runs the handler if this member owns the key, otherwise forwards the request to the owner. */
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
