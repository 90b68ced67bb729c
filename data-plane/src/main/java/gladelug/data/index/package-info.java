/**
 * The index process: one Cuckoo Summary of all holders (replicas and stores), updated by a feed of
 * cache events per holder and queried by relays. All state is confined to the worker of {@link
 * gladelug.data.index.IndexService}. A match is a hint: a wrong one costs a prefill and nothing
 * else. The data structure is the Cuckoo Summary of the HDS paper; docs/index-and-the-paper.md
 * describes the differences.
 */
package gladelug.data.index;
