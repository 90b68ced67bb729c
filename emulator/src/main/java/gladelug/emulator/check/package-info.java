/**
 * The model checker of the core: the production member code on a network that is a multiset of
 * messages and on disks that are lists of writes, explored by seeded walks and exhaustively up to a
 * depth. Rules are checked after each step; a counterexample is shortened and printed as a table.
 */
package gladelug.emulator.check;
