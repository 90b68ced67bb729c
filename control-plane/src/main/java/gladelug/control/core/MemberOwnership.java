package gladelug.control.core;

import gladelug.common.configuration.PrefixSharing;
import gladelug.control.core.config.MemberSet;
import gladelug.control.core.message.CoreMessage;
import gladelug.control.core.register.Register;
import gladelug.control.core.register.VersionedValue;

/** A {@link CoreMember} as the owners of its keys see it. */
final class MemberOwnership implements OwnershipContext {
  private final CoreMember member;

  MemberOwnership(CoreMember member) {
    this.member = member;
  }

  @Override
  public QuorumConfig config() {
    return member.config;
  }

  @Override
  public String self() {
    return member.self;
  }

  @Override
  public MemberSet members() {
    return member.members();
  }

  @Override
  public Register register(String key) {
    return member.register(key);
  }

  @Override
  public long nowMs() {
    return member.host.nowMs();
  }

  @Override
  public long wallClockMs() {
    return member.host.wallClockMs();
  }

  @Override
  public long random(long bound) {
    return member.host.random(bound);
  }

  @Override
  public void send(String receiver, CoreMessage message) {
    member.send(receiver, message);
  }

  @Override
  public void broadcast(CoreMessage message) {
    member.sendToAll(message);
  }

  @Override
  public void logEvent(String name, Object... pairs) {
    member.host.logEvent(name, pairs);
  }

  @Override
  public boolean isIsolatedFromMajority(long now) {
    return member.isIsolatedFromMajority(now);
  }

  @Override
  public long latestRoundNumber() {
    return member.latestRoundNumber();
  }

  @Override
  public void requestConfirmationRound() {
    member.requestConfirmationRound();
  }

  @Override
  public void deferElection(String key, long now) {
    member.deferElection(key, now);
  }

  @Override
  public long maxBodyBytes(String key) {
    return member.maxValueBytes(key);
  }

  @Override
  public long knownAgeMs(String key, long number, long now) {
    return member.knownAgeMs(key, number, now);
  }

  @Override
  public int weightsAgeCutoffMs() {
    return member.weightsAgeCutoffMs();
  }

  @Override
  public String summarize(String key, byte[] oldBody, byte[] newBody) {
    return member.summarize(key, oldBody, newBody);
  }

  @Override
  public PrefixSharing prefixSharing(String key, VersionedValue value, byte[] nextBody) {
    return member.prefixSharing(key, value, nextBody);
  }

  @Override
  public void onCommitted(String key, VersionedValue value) {
    member.onValueCommitted(key, value);
  }

  @Override
  public void pushChange(String key, long epoch, VersionedValue previous, VersionedValue value) {
    member.pushChange(key, epoch, previous, value);
  }

  @Override
  public void onAcknowledged(String key, long number) {
    member.recordAcknowledged(key, number);
  }
}
