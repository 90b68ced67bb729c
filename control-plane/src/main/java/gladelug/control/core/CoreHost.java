package gladelug.control.core;

import gladelug.common.Address;
import gladelug.common.message.StateUpdate;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.CoreMessage;
import gladelug.control.core.register.DurableStorage;
import java.util.List;

/**
 * The seam between the core's protocol and the world: time, chance, disk, connections. The protocol
 * is pure: it is told of events one at a time and answers by these calls. The simulator is another
 * host.
 *
 * <p>All methods are called on the protocol's one thread and must not block. None calls back into
 * the protocol before it returns: what comes of a call arrives later as an event of its own.
 */
public interface CoreHost extends DurableStorage {
  /** A time before all that the clock gives, from which differences don't overflow. */
  long NEVER = Long.MIN_VALUE / 2;

  /** A monotonic clock, ms; its origin means nothing. */
  long nowMs();

  /** A random number from 0 up to, not including, `below`. */
  long random(long below);

  /** The clock on the wall, ms since 1970, which may jump: only for stamps that people read. */
  long wallClockMs();

  /**
   * Sends to a member by name; to oneself as well. May be lost; what arrives of one connection
   * arrives in order.
   */
  void send(String member, CoreMessage.Envelope message);

  /**
   * Sends to an address: while bootstrapping or joining there are no names yet. May be lost; what
   * arrives of one connection arrives in order.
   */
  void sendTo(Address address, CoreMessage.Envelope message);

  /** Where other processes may be found by one that knows no members yet; without repeats. */
  List<Address> contactAddresses();

  /**
   * Pushes an update to a data-plane process by its name. May be lost; what arrives of one
   * connection arrives in order.
   */
  void pushUpdate(String subscriber, StateUpdate update);

  /** The members changed or became known: connections to them follow. */
  void onMembersChanged(MemberSet members);

  /**
   * Tells of an event, for the log.
   *
   * @param pairs names and values in turn
   */
  void logEvent(String name, Object... pairs);
}
