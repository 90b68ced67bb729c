/**
 * The data-plane program: a relay forwards callers' requests to replicas, an index maintains the
 * Cuckoo Summary of which replica or store keeps which prefix block. Neither uses a disk; both hold
 * a copy of the control state whose use is limited by leases.
 */
package gladelug.data;
