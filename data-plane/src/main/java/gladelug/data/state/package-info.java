/**
 * The control state of a data-plane process: a subscription to the members of the core, the newest
 * values with their leases, and an immutable snapshot that is replaced as a whole when a value
 * changes.
 */
package gladelug.data.state;
