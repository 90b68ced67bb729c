package gladelug.data.request;

import io.smallrye.mutiny.Uni;

/**
 * One step of a request through the relay. It writes its reason into the request's decision record
 * and gives a result, now or later, always on the request thread.
 */
public interface RequestFilter {
  String name();

  Uni<FilterResult> apply(Request request);

  /** For stages that decide at once. */
  interface Synchronous extends RequestFilter {
    FilterResult decide(Request request);

    @Override
    default Uni<FilterResult> apply(Request request) {
      return Uni.createFrom().item(decide(request));
    }
  }
}
