package gladelug.control.core;

import gladelug.control.core.message.ChangeRequest;
import gladelug.control.core.message.ChangeResult;
import gladelug.control.core.register.VersionedValue;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * One change of a key at its owner, from its receipt to its answer: queued, perhaps confirmed, then
 * written to the members, committed on a majority and acknowledged. It is answered once.
 */
final class PendingChange {
  private final ChangeRequest request;
  private final String digest;
  private final String identity;
  private final long receivedAtMs;
  private final Consumer<ChangeResult> onResult;
  private final Set<String> acceptedBy = new HashSet<>();
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

  /** The SHA-256 of the body, in hex. */
  String digest() {
    return digest;
  }

  /** The SHA-256 of what its sender sent, in hex, by which it is recognised. */
  String identity() {
    return identity;
  }

  /** ms since its receipt. */
  long ageMs(long nowMs) {
    return nowMs - receivedAtMs;
  }

  /** A majority confirmed the owner after this change's receipt. */
  void onOwnershipConfirmed() {
    ownershipConfirmed = true;
  }

  boolean isOwnershipConfirmed() {
    return ownershipConfirmed;
  }

  /** Gives it its value and so its number; it is about to be sent to the members. */
  void write(VersionedValue next, long nowMs) {
    value = next;
    number = next.number();
    sentAtMs = nowMs;
  }

  /** It was applied before under this number: it is only acknowledged again. */
  void markDuplicateOf(long appliedNumber, long nowMs) {
    number = appliedNumber;
    commit(nowMs);
  }

  /** Whether it was applied before, so that nothing is written for it. */
  boolean isDuplicate() {
    return value == null;
  }

  /** The number it got; 0 before. */
  long number() {
    return number;
  }

  /** What is written for it; null before, and where it is a duplicate. */
  VersionedValue value() {
    return value;
  }

  /** ms since it was last sent to the members that have not accepted it. */
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

  /** How many members have it on disk. */
  int acceptedCount() {
    return acceptedBy.size();
  }

  /** It is on a majority's disks. */
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

  /** So many more leases lapsed while it waited for acknowledgements. */
  void onLeasesLapsed(int count) {
    lapsedLeases += count;
  }

  int lapsedLeases() {
    return lapsedLeases;
  }

  /** Answers its sender, the first time. */
  void answer(ChangeResult result) {
    if (!answered) onResult.accept(result);
    answered = true;
  }
}
