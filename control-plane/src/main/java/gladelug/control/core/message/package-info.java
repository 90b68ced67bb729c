/**
 * The messages between core members, each with its codec, and the requests and results of changes
 * and reads of a key. Tags and the order of fields define the wire format and must not change.
 */
package gladelug.control.core.message;
