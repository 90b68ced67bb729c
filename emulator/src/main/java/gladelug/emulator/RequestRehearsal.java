package gladelug.emulator;

/**
 * Names the scenarios that send requests to a small fleet of real processes with one fault at a
 * time and check the caller's answer and the ledger.
 */
public final class RequestRehearsal {
  private RequestRehearsal() {}
}
