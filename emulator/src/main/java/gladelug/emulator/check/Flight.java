package gladelug.emulator.check;

import gladelug.common.message.WireRecord;
import gladelug.control.core.message.CoreMessage;
import gladelug.control.core.message.CoreMessage.Envelope;
import java.util.Arrays;

/**
 * A message on its way between two processes. It ends with the process it was sent to, as its
 * connection does, but outlives its sender.
 *
 * <p>A message in flight; type: the name of its type.
 */
record Flight(String from, String to, String type, Envelope envelope) {
  Flight(String from, String to, Envelope envelope) {
    this(from, to, envelope.message().getClass().getSimpleName(), envelope);
  }

  /** The key it is about, or an empty text where it is about none or several. */
  static String key(CoreMessage message) {
    if (message instanceof CoreMessage.PrepareRequest x) return x.key();
    if (message instanceof CoreMessage.PrepareResponse x) return x.key();
    if (message instanceof CoreMessage.AcceptRequest x) return x.key();
    if (message instanceof CoreMessage.AcceptResponse x) return x.key();
    return "";
  }

  /** Equal for messages of the same contents between the same two machines. */
  long digest() {
    long h = from.hashCode() * 31L + to.hashCode();
    return Mixing.mix(h, Arrays.hashCode(WireRecord.encode(envelope)));
  }
}
