package gladelug.data.request;

import com.eclipsesource.json.Json;
import gladelug.common.Clock;
import gladelug.common.Log;
import java.util.List;
import java.util.function.Consumer;

/**
 * Runs a request through the filters in order until one of them ends or refuses it. A filter may
 * send the request back to the choice of a replica; the chain bounds how often.
 */
public final class FilterChain {
  private static final int MAX_CHOICES = 6;
  private final List<RequestFilter> filters;
  private final int choiceIndex;
  private final Clock clock;
  private final Consumer<Request> onEnded;

  public FilterChain(
      List<RequestFilter> filters, String choiceFilter, Clock clock, Consumer<Request> onEnded) {
    this.filters = List.copyOf(filters);
    int choice = 0;
    for (int i = 0; i < filters.size(); i++)
      if (filters.get(i).name().equals(choiceFilter)) choice = i;
    this.choiceIndex = choice;
    this.clock = clock;
    this.onEnded = onEnded;
  }

  /** Starts a request at the first filter. */
  public void start(Request request) {
    runFilter(request, 0);
  }

  private void runFilter(Request request, int index) {
    RequestFilter filter = filters.get(index);
    filter
        .apply(request)
        .subscribe()
        .with(
            result -> onResult(request, index, result),
            failure -> {
              Log.thrown("stage-problem", failure, "stage", filter.name(), "order", request.id());
              boolean forwarded = request.state.phase() != RequestState.Phase.WAITING;
              onResult(
                  request,
                  index,
                  forwarded
                      ? FilterResult.unknown(502, "internal error", FilterResult.RETRY_AT_ONCE_MS)
                      : FilterResult.notRun(503, "internal error", FilterResult.RETRY_AT_ONCE_MS));
            });
  }

  private void onResult(Request request, int index, FilterResult result) {
    if (result instanceof FilterResult.Continue) runFilter(request, index + 1);
    else if (result instanceof FilterResult.ChooseAgain again) {
      request.decision.add("again", clock.now(), Json.object().add("why", again.reason()));
      if (++request.choiceCount > MAX_CHOICES)
        refuse(
            request,
            (FilterResult.Refuse)
                FilterResult.notRun(
                    503, "no replica accepted the request", FilterResult.RETRY_AT_ONCE_MS));
      else runFilter(request, choiceIndex);
    } else if (result instanceof FilterResult.Refuse refusal) refuse(request, refusal);
    else onEnded.accept(request);
  }

  private void refuse(Request request, FilterResult.Refuse refusal) {
    if (request.piecesOut > 0) {
      cutOff(request, refusal.reason());
      return;
    }
    FilterResult.Refuse adjusted = refusal.adjustedForTriesOf(request);
    if (!request.state.end()) {
      onEnded.accept(request);
      return;
    }
    request.decision.add(
        "turned-away",
        clock.now(),
        Json.object().add("status", adjusted.status()).add("reason", adjusted.reason()));
    request.decision.setOutcome(adjusted.outcome());
    request.failureReason = adjusted.reason();
    if (!request.callerGone) request.caller.refuse(request, adjusted);
    onEnded.accept(request);
  }

  /** Ends a request whose answer broke off and cannot be resumed. */
  private void cutOff(Request request, String reason) {
    if (request.state.end()) {
      request.decision.add(
          "cut-off",
          clock.now(),
          Json.object().add("why", reason).add("pieces", request.piecesOut));
      request.decision.setOutcome("cut-off");
      if (!request.callerGone) request.caller.cutOff(request, reason);
    }
    onEnded.accept(request);
  }
}
