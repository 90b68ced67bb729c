/*
 * Asking and steering replicas by the product's own protocol.
 */
package gladelug.control.duty;

import gladelug.kernel.Log;
import gladelug.kernel.configuration.Replicas.Replica;
import gladelug.kernel.connection.Local;
import io.smallrye.mutiny.Uni;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.util.Map;

public final class OwnReplicaOrders implements ReplicaOrders {
  private final WebClient web;

  public OwnReplicaOrders(Vertx vertx, Local local) {
    web =
        WebClient.create(
            vertx,
            local.from(
                new WebClientOptions()
                    .setConnectTimeout(700)
                    .setFollowRedirects(false)
                    .setMaxPoolSize(2)));
  }

  @Override
  public boolean askAlways() {
    return true;
  }

  @Override
  public Uni<Said> ask(Replica r) {
    return web.get(r.address().port(), r.address().host(), "/identity")
        .timeout(1000)
        .send()
        .map(
            a -> {
              JsonObject o = a.statusCode() == 200 ? a.bodyAsJsonObject() : null;
              if (o == null
                  || !r.instance().equals(o.getString("instance"))
                  || !r.service().equals(o.getString("service")))
                throw new IllegalStateException("not " + r.instance());
              return new Said(
                  o.getBoolean("loading", false), Map.of(r.service(), o.getString("weights", "")));
            });
  }

  @Override
  public Uni<Boolean> order(Replica r, String holder, long fence, String model, String weights) {
    return web.post(r.address().port(), r.address().host(), "/steer")
        .timeout(1000)
        .sendJsonObject(
            new JsonObject()
                .put("commander", holder)
                .put("epoch", fence)
                .put("instance", r.instance())
                .put("weights", weights))
        .map(
            a -> {
              if (a.statusCode() != 200)
                Log.warn("steer-refused", "replica", r.instance(), "status", a.statusCode());
              return false;
            });
  }
}
