package gladelug.control.core.config;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * What one voter of a bootstrap has bound itself to; stored before it is announced. Ballots are
 * numbers above 0, each of one voter.
 *
 * @param counted whether the voter's promises and acceptances count; not before it is sure that it
 *     has forgotten none
 * @param promised the highest ballot that it promised: it accepts nothing in a lower one
 * @param acceptedBallot the ballot in which it accepted a member set; 0 for none
 * @param accepted that member set, or {@link MemberSet#NONE}
 */
public record BootstrapVote(
    boolean counted, long promised, long acceptedBallot, MemberSet accepted) {
  /** The vote of a voter that is bound to nothing. */
  public static final BootstrapVote NONE = new BootstrapVote(false, 0, 0, MemberSet.NONE);

  /** The ballot of a set that a release without ballots stored; every other ballot is higher. */
  private static final long EARLIEST_BALLOT = 1;

  /** Returns the vote of a voter that stored its set with a release without ballots. */
  public static BootstrapVote ofEarlierRelease(MemberSet stored) {
    return new BootstrapVote(true, EARLIEST_BALLOT, EARLIEST_BALLOT, stored);
  }

  /** Returns this vote, as one that counts. */
  public BootstrapVote counting() {
    return new BootstrapVote(true, promised, acceptedBallot, accepted);
  }

  /** Returns this vote with a promise of at least this ballot. */
  public BootstrapVote promising(long ballot) {
    return new BootstrapVote(counted, Math.max(promised, ballot), acceptedBallot, accepted);
  }

  /**
   * Returns this vote after the set was accepted in a ballot that is not below the promised one.
   */
  public BootstrapVote accepting(long ballot, MemberSet set) {
    return new BootstrapVote(counted, ballot, ballot, set);
  }

  /** Returns this vote with the set accepted in the higher ballot of the two votes. */
  public BootstrapVote withHigherAcceptance(BootstrapVote other) {
    return other.acceptedBallot > acceptedBallot
        ? new BootstrapVote(counted, promised, other.acceptedBallot, other.accepted)
        : this;
  }

  /** Writes the vote in the format used in messages and on disk. */
  public void write(DataOutputStream out) throws IOException {
    out.writeBoolean(counted);
    out.writeLong(promised);
    out.writeLong(acceptedBallot);
    accepted.write(out);
  }

  /**
   * Reads what {@link #write} wrote.
   *
   * @throws IOException if the bytes are malformed
   */
  public static BootstrapVote read(DataInputStream in) throws IOException {
    return new BootstrapVote(in.readBoolean(), in.readLong(), in.readLong(), MemberSet.read(in));
  }

  /** Returns the vote in the format used on disk. */
  public byte[] toBytes() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      write(out);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /**
   * Parses a vote that may be malformed.
   *
   * @throws IOException if the bytes are not exactly one valid vote
   */
  public static BootstrapVote parse(byte[] bytes) throws IOException {
    return StoredRecord.parse(bytes, BootstrapVote::read);
  }

  /**
   * Parses a vote that was validated before.
   *
   * @throws UncheckedIOException if it is malformed nevertheless
   */
  public static BootstrapVote of(byte[] bytes) {
    try {
      return parse(bytes);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
