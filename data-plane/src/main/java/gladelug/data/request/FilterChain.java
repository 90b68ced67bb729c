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
  private static final int MAX_CHOICES = 6;
  private final List<RequestFilter> filters;
  private final int choiceIndex;
  private final Clock clock;
  private final Consumer<Request> onEnded;

  public FilterChain(
      List<RequestFilter> stages, String choiceStage, Clock clock, Consumer<Request> ended) {
    this.filters = List.copyOf(stages);
    int c = 0;
    for (int i = 0; i < stages.size(); i++) if (stages.get(i).name().equals(choiceStage)) c = i;
    this.choiceIndex = c;
    this.clock = clock;
    this.onEnded = ended;
  }

  public void start(Request request) {
    runFilter(request, 0);
  }

  private void runFilter(Request request, int i) {
    RequestFilter filter = filters.get(i);
    filter
        .apply(request)
        .subscribe()
        .with(
            v -> onResult(request, i, v),
            failure -> {
              Log.thrown("stage-problem", failure, "stage", filter.name(), "order", request.id());
              boolean handed = request.state.phase() != RequestState.Phase.WAITING;
              onResult(
                  request,
                  i,
                  handed
                      ? FilterResult.unknown(
                          502, "an internal problem", FilterResult.RETRY_AT_ONCE_MS)
                      : FilterResult.notRun(
                          503, "an internal problem", FilterResult.RETRY_AT_ONCE_MS));
            });
  }

  private void onResult(Request request, int i, FilterResult v) {
    if (v instanceof FilterResult.Continue) runFilter(request, i + 1);
    else if (v instanceof FilterResult.ChooseAgain a) {
      request.decision.add("again", clock.now(), Json.object().add("why", a.reason()));
      if (++request.choiceCount > MAX_CHOICES)
        refuse(
            request,
            (FilterResult.Refuse)
                FilterResult.notRun(503, "no replica took it", FilterResult.RETRY_AT_ONCE_MS));
      else runFilter(request, choiceIndex);
    } else if (v instanceof FilterResult.Refuse t) refuse(request, t);
    else onEnded.accept(request);
  }

  private void refuse(Request request, FilterResult.Refuse v) {
    if (request.piecesOut > 0) {
      cutOff(request, v.reason());
      return;
    }
    FilterResult.Refuse t = v.adjustedForTriesOf(request);
    if (!request.state.end()) {
      onEnded.accept(request);
      return;
    }
    request.decision.add(
        "turned-away",
        clock.now(),
        Json.object().add("status", t.status()).add("reason", t.reason()));
    request.decision.setOutcome(t.outcome());
    request.failureReason = t.reason();
    if (!request.callerGone) request.caller.refuse(request, t);
    onEnded.accept(request);
  }

  /** A stream that broke and that nobody takes up. */
  private void cutOff(Request request, String why) {
    if (request.state.end()) {
      request.decision.add(
          "cut-off", clock.now(), Json.object().add("why", why).add("pieces", request.piecesOut));
      request.decision.setOutcome("cut-off");
      if (!request.callerGone) request.caller.cutOff(request, why);
    }
    onEnded.accept(request);
  }
}
