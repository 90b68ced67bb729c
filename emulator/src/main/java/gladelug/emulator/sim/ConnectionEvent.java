package gladelug.emulator.sim;

/**
 * What may come about between a relay and a replica and is judged only if it did: counted by the
 * simulator.
 */
enum ConnectionEvent {
  /** A pooled connection with no request on it was reset. */
  RESET_WHILE_IDLE,

  /** A connection was found closed when a request was about to be written. */
  CLOSED_BEFORE_SENDING,

  /** A request was written and its connection was reset before the replica read it. */
  RESET_BEFORE_IT_WAS_READ,

  /** A connection was reset while its request was at the replica. */
  RESET_WHILE_RUNNING,

  /** A second answer came on a connection with no request on it. */
  SURPLUS_WHILE_IDLE,

  /** A second answer came where the answer to a later request was due. */
  SURPLUS_AT_NEXT_REQUEST,

  /** An answer came after its caller left or its request was given up. */
  ANSWER_AFTER_IT_WAS_GIVEN_UP
}
