package gladelug.emulator.check;

import gladelug.common.message.WireRecord;
import gladelug.control.core.message.CoreMessage;
import gladelug.control.core.message.CoreMessage.Envelope;
import java.util.Arrays;

/**
 * A message in flight between two processes. It is lost with the process it was sent to, as its
 * connection is, but outlives its sender. type: the simple name of the message's class.
 */
record InFlightMessage(String from, String to, String type, Envelope envelope) {
  InFlightMessage(String from, String to, Envelope envelope) {
    this(from, to, envelope.message().getClass().getSimpleName(), envelope);
  }

  /** Returns the key that a message is about, or an empty string if it is about none or several. */
  static String keyOf(CoreMessage message) {
    if (message instanceof CoreMessage.PrepareRequest typed) return typed.key();
    if (message instanceof CoreMessage.PrepareResponse typed) return typed.key();
    if (message instanceof CoreMessage.AcceptRequest typed) return typed.key();
    if (message instanceof CoreMessage.AcceptResponse typed) return typed.key();
    return "";
  }

  /**
   * Returns a digest that is equal for messages of the same contents between the same two machines.
   */
  long digest() {
    long hash = from.hashCode() * 31L + to.hashCode();
    return HashMixer.mix(hash, Arrays.hashCode(WireRecord.encode(envelope)));
  }
}
