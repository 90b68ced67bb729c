/**
 * A request in progress and the decisions about it: {@link gladelug.data.request.Request} with its
 * {@link gladelug.data.request.RequestState}, the filter chain, and the decision record that
 * explains the routing afterwards. Used on the relay's event loop only.
 */
package gladelug.data.request;
