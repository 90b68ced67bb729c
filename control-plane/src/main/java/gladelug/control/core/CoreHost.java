package gladelug.control.core;

import gladelug.common.Address;
import gladelug.common.message.StateUpdate;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.CoreMessage;
import gladelug.control.core.register.DurableStorage;
import java.util.List;

/**
 * The environment of the core's protocol: clocks, random numbers, disk and connections. The
 * protocol is a state machine that receives one event at a time and acts through these calls only.
 * {@link CoreService} is the host in a running process; the simulator and the model checker provide
 * others.
 *
 * <p>All methods are called on the protocol's thread and must not block. A method must not call
 * back into the protocol before it returns: the result of a call arrives later as a separate event.
 */
public interface CoreHost extends DurableStorage {
  /**
   * A time before any time of the clock; differences between it and a time of the clock do not
   * overflow.
   */
  long NEVER = Long.MIN_VALUE / 2;

  /** Returns the time of a monotonic clock with an arbitrary origin, in ms. */
  long nowMs();

  /** Returns a random number from 0 (inclusive) to {@code bound} (exclusive). */
  long random(long bound);

  /**
   * Returns the wall-clock time in ms since the Unix epoch. It may jump, so it is used only for
   * timestamps shown to people.
   */
  long wallClockMs();

  /**
   * Sends a message to a member by name; the receiver may be this member. The message may be lost;
   * messages that arrive on one connection arrive in order.
   */
  void send(String member, CoreMessage.Envelope message);

  /**
   * Sends a message to an address, for use during bootstrap and joining, when member names are not
   * known yet. The message may be lost; messages that arrive on one connection arrive in order.
   */
  void sendTo(Address address, CoreMessage.Envelope message);

  /**
   * Returns the addresses at which a process that knows no members yet may find others, without
   * duplicates.
   */
  List<Address> contactAddresses();

  /**
   * Pushes an update to a data-plane process by name. The update may be lost; updates that arrive
   * on one connection arrive in order.
   */
  void pushUpdate(String subscriber, StateUpdate update);

  /**
   * Tells the host that the members changed or became known, so that it opens and closes
   * connections accordingly.
   */
  void onMembersChanged(MemberSet members);

  /**
   * Logs an event.
   *
   * @param pairs field names and values, alternating
   */
  void logEvent(String name, Object... pairs);
}
