/**
 * Decision records that outlive their relay: batches sent to two peers and stored there within a
 * bound in bytes, best effort, so that a request can be explained after its relay is gone.
 */
package gladelug.data.decisions;
