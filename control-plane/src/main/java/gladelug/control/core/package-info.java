/**
 * The replicated control state of one core member. {@link gladelug.control.core.CoreService} runs
 * it in a process: a worker thread runs the protocol, the disk's thread writes durable state, and
 * persistent connections carry messages. {@link gladelug.control.core.CoreMember} is the facade of
 * the protocol: it creates the parts, runs their ticks and dispatches messages.
 *
 * <p>The parts by task: failure detection ({@code FailureDetector}), elections ({@code Elections},
 * {@code KeyOwner} with {@code Election}), the acceptor ({@code RegisterAcceptor}), confirmation
 * rounds ({@code ConfirmationRounds}), subscribers ({@code SubscriberRegistry}, {@code
 * SubscriberLeases}), forwarding ({@code ForwardedChanges}, {@code ForwardedReads}), membership and
 * its changes ({@code Membership}, {@code Bootstrap}, {@code MembershipPlan}). All of them are
 * called on the protocol's thread only and act only through {@link gladelug.control.core.CoreHost},
 * so that the simulator and the model checker can provide other hosts.
 */
package gladelug.control.core;
