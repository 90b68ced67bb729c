/**
 * Records that control plane and data plane exchange, with their codecs: state updates and leases,
 * lookups, shuffles of partial views, and decision records. Type numbers and the order of fields
 * are the wire format and must not change; a record that can't be decoded closes its connection.
 */
package gladelug.common.message;
