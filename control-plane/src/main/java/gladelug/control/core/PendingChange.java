package gladelug.control.core;

import gladelug.control.core.message.ChangeRequest;
import gladelug.control.core.message.ChangeResult;
import gladelug.control.core.register.VersionedValue;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A change of a key at its owner from receipt to answer: it is queued, waits for a confirmation of
 * the owner if it needs one, is written to the members, committed at a majority and acknowledged.
 * It is answered exactly once.
 */
final class PendingChange {
  private final ChangeRequest request;
  private final String digest;
  private final String identity;
  private final long receivedAtMs;
  private final Consumer<ChangeResult> onResult;
  private final Set<String> acceptedBy = new HashSet<>();

  /** Whether a majority confirmed the owner after this change was received. */
  private boolean ownershipConfirmed;

  private long number;
  private VersionedValue value;
  private long sentAtMs;
  private boolean committed;
  private long committedAtMs;
  private int lapsedLeases;
  private boolean answered;

  PendingChange(ChangeRequest request, long receivedAtMs, Consumer<ChangeResult> onResult) {
    this.request = request;
    this.digest = request.digest();
    this.identity = request.sentDigest().isEmpty() ? digest : request.sentDigest();
    this.receivedAtMs = receivedAtMs;
    this.onResult = onResult;
  }

  ChangeRequest request() {
    return request;
  }

  /** Returns the SHA-256 of the body in hex. */
  String digest() {
    return digest;
  }

  /** Returns the SHA-256 in hex of what the sender sent, by which a duplicate is recognised. */
  String identity() {
    return identity;
  }

  /** Returns the time since the change was received, ms. */
  long ageMs(long nowMs) {
    return nowMs - receivedAtMs;
  }

  /** Records that a majority confirmed the owner after this change was received. */
  void onOwnershipConfirmed() {
    ownershipConfirmed = true;
  }

  boolean isOwnershipConfirmed() {
    return ownershipConfirmed;
  }

  /** Sets the value, and with it the version number, that is about to be sent to the members. */
  void write(VersionedValue next, long nowMs) {
    value = next;
    number = next.number();
    sentAtMs = nowMs;
  }

  /**
   * Marks the change as a duplicate of one that was applied under this number, so that it is only
   * acknowledged again.
   */
  void markDuplicateOf(long appliedNumber, long nowMs) {
    number = appliedNumber;
    commit(nowMs);
  }

  /** Returns whether no value is written for this change, which holds for a duplicate. */
  boolean isDuplicate() {
    return value == null;
  }

  /** Returns the version number of the change; 0 before it has one. */
  long number() {
    return number;
  }

  /** Returns the value written for the change; null before it is written and for a duplicate. */
  VersionedValue value() {
    return value;
  }

  /**
   * Returns the time since the change was last sent to the members that have not accepted it, ms.
   */
  long sinceSentMs(long nowMs) {
    return nowMs - sentAtMs;
  }

  void onResent(long nowMs) {
    sentAtMs = nowMs;
  }

  void onAcceptedBy(String member) {
    acceptedBy.add(member);
  }

  boolean isAcceptedBy(String member) {
    return acceptedBy.contains(member);
  }

  /** Returns how many members have the change on disk. */
  int acceptedCount() {
    return acceptedBy.size();
  }

  /** Records that the change is on the disks of a majority. */
  void commit(long nowMs) {
    committed = true;
    committedAtMs = nowMs;
  }

  boolean isCommitted() {
    return committed;
  }

  long committedAtMs() {
    return committedAtMs;
  }

  /** Adds to the number of leases that expired while the change waited for acknowledgements. */
  void onLeasesLapsed(int count) {
    lapsedLeases += count;
  }

  int lapsedLeases() {
    return lapsedLeases;
  }

  /** Answers the sender. Further calls have no effect. */
  void answer(ChangeResult result) {
    if (!answered) onResult.accept(result);
    answered = true;
  }
}
