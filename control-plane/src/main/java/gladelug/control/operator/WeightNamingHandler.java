package gladelug.control.operator;

import gladelug.common.Finding;
import gladelug.common.Findings;
import gladelug.common.LocatedJson;
import gladelug.common.Result;
import gladelug.common.configuration.Configuration;
import gladelug.common.configuration.Replicas;
import gladelug.common.configuration.Weights;
import gladelug.common.message.StateKeys;
import gladelug.control.core.CoreService;
import gladelug.control.core.message.ChangeResult;
import gladelug.control.core.message.ReadResult;
import io.smallrye.mutiny.Uni;
import io.vertx.core.json.JsonObject;
import io.vertx.mutiny.ext.web.RoutingContext;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Names the weights a service is to run, once a replica of it says that it offers them. */
final class WeightNamingHandler {
  /** How often a naming is tried again that others overtook. */
  private static final int MAX_RETRIES = 5;

  private static final long IDENTITY_TIMEOUT_MS = 1000;

  private final CoreService core;
  private final WebClient client;

  WeightNamingHandler(CoreService core, WebClient client) {
    this.core = core;
    this.client = client;
  }

  private record NamingRequest(String service, String weights) {
    static Result<NamingRequest> parse(String body) {
      return LocatedJson.parse(body == null ? "" : body)
          .flatMap(
              json -> {
                Findings findings = new Findings();
                LocatedJson.Fields fields = json.fields(findings);
                NamingRequest naming =
                    new NamingRequest(fields.text("service"), fields.text("weights"));
                fields.reportUnknownFields();
                return Result.of(findings, () -> naming);
              });
    }
  }

  /** Names weights; If-Match may hold the number of the weights it is based on. */
  void nameWeights(RoutingContext context) {
    Result<NamingRequest> body = NamingRequest.parse(context.body().asString());
    IfMatch ifMatch = IfMatch.parse(context);
    if (body instanceof Result.Bad<NamingRequest> bad)
      JsonResponses.sendFindings(context, bad.findings());
    else if (ifMatch.kind() == IfMatch.Kind.INVALID)
      JsonResponses.sendFindings(context, List.of(IfMatch.INVALID_FINDING));
    else checkAndName(context, ((Result.Good<NamingRequest>) body).value(), ifMatch);
  }

  /** Names weights that a replica offers, judged by what a majority confirms to be current. */
  private void checkAndName(RoutingContext context, NamingRequest naming, IfMatch ifMatch) {
    Uni.combine()
        .all()
        .unis(core.readNewest(StateKeys.CONFIGURATION), core.readNewest(StateKeys.REPLICAS))
        .asTuple()
        .flatMap(
            read -> {
              if (!read.getItem1().hasOwner() || !read.getItem2().hasOwner()) {
                JsonResponses.sendNoOwner(context);
                return Uni.createFrom().<ChangeResult>nullItem();
              }
              return findProblem(
                      naming, parseConfiguration(read.getItem1()), parseReplicas(read.getItem2()))
                  .flatMap(finding -> nameIfValid(finding, context, naming, ifMatch));
            })
        .subscribe()
        .with(answer -> {}, failure -> context.fail(500, failure));
  }

  private Uni<ChangeResult> nameIfValid(
      Optional<Finding> finding, RoutingContext context, NamingRequest naming, IfMatch ifMatch) {
    if (finding.isPresent()) {
      JsonResponses.sendFindings(context, List.of(finding.get()));
      return Uni.createFrom().nullItem();
    }
    return proposeNaming(naming, ifMatch, MAX_RETRIES)
        .invoke(result -> JsonResponses.sendChangeResult(context, result));
  }

  private static Configuration parseConfiguration(ReadResult newest) {
    return Configuration.parse(JsonResponses.bodyText(newest))
            instanceof Result.Good<Configuration> good
        ? good.value()
        : Configuration.EMPTY;
  }

  private static Replicas parseReplicas(ReadResult newest) {
    return Replicas.parse(JsonResponses.bodyText(newest)) instanceof Result.Good<Replicas> good
        ? good.value()
        : Replicas.NONE;
  }

  private static Weights parseWeights(ReadResult newest) {
    return Weights.parse(JsonResponses.bodyText(newest)) instanceof Result.Good<Weights> good
        ? good.value()
        : Weights.NONE;
  }

  /** What speaks against naming the weights. */
  private Uni<Optional<Finding>> findProblem(
      NamingRequest naming, Configuration configuration, Replicas replicas) {
    Configuration.Service service = configuration.service(naming.service);
    if (service == null || service.kind() != Configuration.Kind.MODEL)
      return Uni.createFrom()
          .item(
              Optional.of(
                  new Finding(
                      "service", "is no model service of the configuration: " + naming.service)));
    return anyReplicaOffers(naming, service, replicas)
        .map(
            offered ->
                offered
                    ? Optional.empty()
                    : Optional.of(
                        new Finding(
                            "weights",
                            "no replica of "
                                + naming.service
                                + " that answers offers "
                                + naming.weights)));
  }

  /** Whether any listed replica says it could run these weights. */
  private Uni<Boolean> anyReplicaOffers(
      NamingRequest naming, Configuration.Service service, Replicas replicas) {
    List<Uni<Boolean>> calls = new ArrayList<>();
    for (Replicas.Replica replica : replicas.all)
      if (replica.service().equals(naming.service) && service.allows(replica.address()))
        calls.add(offers(replica, naming.weights));
    if (calls.isEmpty()) return Uni.createFrom().item(false);
    return Uni.join().all(calls).andCollectFailures().map(answers -> answers.contains(true));
  }

  private Uni<Boolean> offers(Replicas.Replica replica, String weights) {
    return client
        .get(replica.address().port(), replica.address().host(), "/identity")
        .timeout(IDENTITY_TIMEOUT_MS)
        .send()
        .map(
            response -> {
              JsonObject identity = response.bodyAsJsonObject();
              return identity != null
                  && replica.instance().equals(identity.getString("instance"))
                  && identity.getJsonArray("offers") != null
                  && identity.getJsonArray("offers").contains(weights);
            })
        // a replica that doesn't answer, or not in its protocol, offers nothing
        .onFailure()
        .recoverWithItem(false);
  }

  private Uni<ChangeResult> proposeNaming(NamingRequest naming, IfMatch ifMatch, int retries) {
    return core.readNewest(StateKeys.WEIGHTS)
        .flatMap(
            newest -> {
              if (!newest.hasOwner()) return Uni.createFrom().item(new ChangeResult.NoOwner());
              Weights current = parseWeights(newest);
              Weights.Assignment named = current.of(naming.service);
              long base = ifMatch.hasNumber() ? ifMatch.number() : newest.number();
              Weights next =
                  named != null && named.current().equals(naming.weights)
                      ? current
                      : current.withAssignment(naming.service, naming.weights, base + 1);
              return core.change(
                  StateKeys.WEIGHTS, base, next.toJson().getBytes(StandardCharsets.UTF_8));
            })
        .flatMap(
            result ->
                result instanceof ChangeResult.Conflict && !ifMatch.hasNumber() && retries > 0
                    ? proposeNaming(naming, ifMatch, retries - 1)
                    : Uni.createFrom().item(result));
  }
}
