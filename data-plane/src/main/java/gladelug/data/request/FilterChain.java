package gladelug.data.request;

import com.eclipsesource.json.Json;
import gladelug.common.Clock;
import gladelug.common.Log;
import java.util.List;
import java.util.function.Consumer;

/**
 * Passes a request through the filters in turn until one ends or refuses it. A filter may send it
 * back to the choice; the chain bounds how often.
 */
public final class FilterChain {
  private static final int CHOICES = 6;
  private final List<RequestFilter> stages;
  private final int choice;
  private final Clock clock;
  private final Consumer<Request> ended;

  public FilterChain(
      List<RequestFilter> stages, String choiceStage, Clock clock, Consumer<Request> ended) {
    this.stages = List.copyOf(stages);
    int c = 0;
    for (int i = 0; i < stages.size(); i++) if (stages.get(i).name().equals(choiceStage)) c = i;
    this.choice = c;
    this.clock = clock;
    this.ended = ended;
  }

  public void go(Request request) {
    step(request, 0);
  }

  private void step(Request request, int i) {
    RequestFilter filter = stages.get(i);
    filter
        .pass(request)
        .subscribe()
        .with(
            v -> next(request, i, v),
            failure -> {
              Log.thrown("stage-problem", failure, "stage", filter.name(), "order", request.id());
              boolean handed = request.state.at() != State.At.WAITING;
              next(
                  request,
                  i,
                  handed
                      ? FilterResult.unknown(
                          502, "an internal problem", FilterResult.RETRY_AT_ONCE_MS)
                      : FilterResult.notRun(
                          503, "an internal problem", FilterResult.RETRY_AT_ONCE_MS));
            });
  }

  private void next(Request request, int i, FilterResult v) {
    if (v instanceof FilterResult.Go) step(request, i + 1);
    else if (v instanceof FilterResult.Again a) {
      request.decision.add("again", clock.now(), Json.object().add("why", a.why()));
      if (++request.choices > CHOICES)
        refuse(
            request,
            (FilterResult.Refuse)
                FilterResult.notRun(503, "no replica took it", FilterResult.RETRY_AT_ONCE_MS));
      else step(request, choice);
    } else if (v instanceof FilterResult.Refuse t) refuse(request, t);
    else ended.accept(request);
  }

  private void refuse(Request request, FilterResult.Refuse v) {
    if (request.piecesOut > 0) {
      cutOff(request, v.reason());
      return;
    }
    FilterResult.Refuse t = v.afterTriesOf(request);
    if (!request.state.end()) {
      ended.accept(request);
      return;
    }
    request.decision.add(
        "turned-away",
        clock.now(),
        Json.object().add("status", t.status()).add("reason", t.reason()));
    request.decision.outcome(t.outcome());
    request.why = t.reason();
    if (!request.gone) request.caller.refuse(request, t);
    ended.accept(request);
  }

  /** A stream that broke and that nobody takes up. */
  private void cutOff(Request request, String why) {
    if (request.state.end()) {
      request.decision.add(
          "cut-off", clock.now(), Json.object().add("why", why).add("pieces", request.piecesOut));
      request.decision.outcome("cut-off");
      if (!request.gone) request.caller.cutOff(request, why);
    }
    ended.accept(request);
  }
}
