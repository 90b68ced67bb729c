/**
 * A relay: its listener for callers, the chain of filters that requests pass, the queue, the retry
 * budget, the replicas as seen by the relay, and the protocols to them. Everything runs on one
 * event loop. {@link gladelug.data.relay.RelayService} passes input from other threads to it, and
 * {@link gladelug.data.relay.Relay} holds the state shared by the filters. Without valid leases no
 * request starts.
 */
package gladelug.data.relay;
