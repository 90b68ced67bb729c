package gladelug.control.core;

import gladelug.control.core.message.CoreMessage;
import gladelug.control.core.message.CoreMessage.AcceptRequest;
import gladelug.control.core.message.CoreMessage.AcceptResponse;
import gladelug.control.core.message.CoreMessage.ConfirmRequest;
import gladelug.control.core.message.CoreMessage.ConfirmResponse;
import gladelug.control.core.message.CoreMessage.EpochStatus;
import gladelug.control.core.message.CoreMessage.KeyEpoch;
import gladelug.control.core.message.CoreMessage.PrepareRequest;
import gladelug.control.core.message.CoreMessage.PrepareResponse;
import gladelug.control.core.register.Register;
import gladelug.control.core.register.RegisterStore;
import gladelug.control.core.register.VersionedValue;
import java.util.ArrayList;
import java.util.List;

/**
 * The member's side of the protocol, the acceptor: promises epochs, accepts values and confirms
 * owners. All is durable before it is answered. Only the core's thread calls it.
 */
final class RegisterAcceptor {
  /** What the acceptor needs of the member it is part of. */
  interface Context {
    /** Sends a response to a member by name; may be lost. */
    void send(String member, CoreMessage response);

    /** Whether another member than the candidate is known to own the key and to be well. */
    boolean hasWorkingOwner(String key, String candidate);

    /** The key was promised to another member, which is given the time to serve it. */
    void onPromisedToOther(String key);
  }

  private final String self;
  private final CoreHost host;
  private final RegisterStore registers;
  private final Context context;

  RegisterAcceptor(String self, CoreHost host, RegisterStore registers, Context context) {
    this.self = self;
    this.host = host;
    this.registers = registers;
    this.context = context;
  }

  /** Promises the epoch, unless a newer one is promised or the key's owner works. */
  void onPrepareRequest(String sender, PrepareRequest prepare) {
    String key = prepare.key();
    long epoch = prepare.epoch();
    Register register = registers.get(key);
    if (epoch <= register.promisedEpoch()
        || !prepare.handover() && context.hasWorkingOwner(key, sender)) {
      context.send(
          sender,
          new PrepareResponse(key, epoch, false, register.promisedEpoch(), 0, VersionedValue.NONE));
      return;
    }
    if (!sender.equals(self)) context.onPromisedToOther(key);
    PrepareResponse granted =
        new PrepareResponse(key, epoch, true, epoch, register.acceptedEpoch(), register.value());
    registers.put(
        key,
        new Register(epoch, register.acceptedEpoch(), register.value()),
        () -> context.send(sender, granted));
  }

  /** Accepts the value, unless a newer epoch is promised. */
  void onAcceptRequest(String sender, AcceptRequest accept) {
    String key = accept.key();
    long number = accept.value().number();
    Register register = registers.get(key);
    if (accept.epoch() < register.promisedEpoch()) {
      context.send(
          sender, new AcceptResponse(key, accept.epoch(), number, false, register.promisedEpoch()));
      return;
    }
    Register stored =
        register.isReplacedBy(accept.epoch(), number)
            ? new Register(accept.epoch(), accept.epoch(), accept.value())
            : register;
    registers.put(
        key,
        stored,
        () ->
            context.send(
                sender, new AcceptResponse(key, accept.epoch(), number, true, accept.epoch())));
  }

  /**
   * Says for each key whether its owner's epoch is still the newest one promised. An epoch that is
   * newer counts as promised, so the answer then waits for the disk.
   */
  void onConfirmRequest(String sender, ConfirmRequest confirm) {
    List<EpochStatus> statuses = new ArrayList<>();
    boolean raised = false;
    for (KeyEpoch keyEpoch : confirm.epochs()) {
      String key = keyEpoch.key();
      long epoch = keyEpoch.epoch();
      Register register = registers.get(key);
      boolean granted = epoch >= register.promisedEpoch();
      if (epoch > register.promisedEpoch()) {
        register = new Register(epoch, register.acceptedEpoch(), register.value());
        registers.put(key, register, () -> {});
        raised = true;
      }
      statuses.add(
          new EpochStatus(
              key,
              epoch,
              granted,
              register.promisedEpoch(),
              register.acceptedEpoch(),
              register.value().number()));
    }
    ConfirmResponse response = new ConfirmResponse(confirm.round(), statuses);
    if (raised) host.sync("", new byte[0], () -> context.send(sender, response));
    else context.send(sender, response);
  }
}
