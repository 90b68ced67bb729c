/**
 * Durable storage: a ring of preallocated files in a data folder. Frames carry a length, a checksum
 * and a sequence number, and one sync covers the entries of many callers. A torn last frame is
 * dropped; damage before it stops the member. Live entries are copied forward before a file is
 * reused. Only one thread writes.
 */
package gladelug.common.disk;
