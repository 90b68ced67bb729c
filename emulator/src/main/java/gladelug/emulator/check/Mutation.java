package gladelug.emulator.check;

/**
 * Protocol rules that can be disabled one at a time, to show that the checker detects the
 * violation. Each is disabled outside the core, in the disks or the network of the checked world.
 */
enum Mutation {
  NONE("no rule is disabled"),
  ANSWER_BEFORE_SYNC("a member answers before its write is durable"),
  MAJORITY_OF_ONE("an owner counts its own response as that of every member"),
  SERVING_WITHOUT_REWRITE("a new owner serves before a majority has its value under its epoch"),
  CONFIRM_BELOW_PROMISE("a member confirms an epoch below the one it promised"),
  PROMISE_NOT_DURABLE("a promise is answered and never written"),
  PROMISE_FORGOTTEN("a member forgets its promised epoch when it restarts"),
  SEAL_WITHOUT_MAJORITY("one sealed member counts as a majority"),
  MEMBERS_BEFORE_CELLS("the members are durable before the values that come with them"),
  EMPTY_DISK_KEEPS_ID("a replaced disk keeps the id of the old one"),
  NEXT_NEVER_TOLD("a sealed core does not tell its next members"),
  WITNESS_VOTES_AGAIN("a founder without a disk votes again after it forgot its vote"),
  READ_WITHOUT_ROUND("a read is answered without a round of confirmations");

  final String description;

  Mutation(String description) {
    this.description = description;
  }
}
