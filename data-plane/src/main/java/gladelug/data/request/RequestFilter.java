package gladelug.data.request;

import io.smallrye.mutiny.Uni;

/**
 * A step of a request through the relay. Writes its reason into the decision record and completes
 * with a result, immediately or later, always on the request thread.
 */
public interface RequestFilter {
  /** Returns the name of the stage in decision records. */
  String name();

  /** Applies the filter to a request. */
  Uni<FilterResult> apply(Request request);

  /** A filter that decides immediately. */
  interface Synchronous extends RequestFilter {
    FilterResult decide(Request request);

    @Override
    default Uni<FilterResult> apply(Request request) {
      return Uni.createFrom().item(decide(request));
    }
  }
}
