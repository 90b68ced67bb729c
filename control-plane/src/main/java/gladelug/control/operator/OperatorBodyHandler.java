package gladelug.control.operator;

import com.eclipsesource.json.Json;
import gladelug.common.Clock;
import gladelug.common.connection.BodyReader;
import gladelug.common.connection.InboundBodies;
import gladelug.common.connection.InboundLimits;
import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.impl.RoutingContextInternal;

/**
 * Reads the body of an operator's call, up to {@link JsonResponses#MAX_BODY_BYTES} and under the
 * process's budget for operators' bodies. Used on the server's event loop only.
 */
final class OperatorBodyHandler implements Handler<RoutingContext> {
  private final InboundBodies bodies =
      new InboundBodies(InboundLimits.ofProcess().operatorBodies(), Clock.monotonic());

  @Override
  public void handle(RoutingContext context) {
    context.addEndHandler(ended -> bodies.release(context.request()));
    BodyReader.read(
        context.request(), bodies, JsonResponses.MAX_BODY_BYTES, new BodyReceiver(context));
  }

  private record BodyReceiver(RoutingContext context) implements BodyReader.Receiver {
    @Override
    public void onBody(HttpServerRequest request, Buffer body) {
      ((RoutingContextInternal) context).setBody(body);
      context.next();
    }

    @Override
    public void onTooLarge(HttpServerRequest request) {
      context.fail(413);
    }

    @Override
    public void onNoMemory(HttpServerRequest request) {
      if (context.response().ended() || context.response().closed()) return;
      context
          .response()
          .setStatusCode(503)
          .putHeader("Content-Type", "application/json")
          .end(Json.object().add("reason", "the memory for request bodies is full") + "\n");
    }
  }
}
