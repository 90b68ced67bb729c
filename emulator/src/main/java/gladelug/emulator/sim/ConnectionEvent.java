package gladelug.emulator.sim;

/**
 * Events on connections between relays and replicas that the simulator counts, so that a test can
 * require that each of them occurred.
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

  /** A duplicate answer arrived on a connection without a request. */
  SURPLUS_WHILE_IDLE,

  /** A duplicate answer arrived where the answer to a later request was due. */
  SURPLUS_AT_NEXT_REQUEST,

  /** An answer arrived after its caller left or its request was cancelled. */
  ANSWER_AFTER_IT_WAS_GIVEN_UP
}
