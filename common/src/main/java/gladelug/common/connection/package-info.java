/**
 * TCP connections between processes of the fleet that carry length-prefixed records: a listener per
 * process ({@link gladelug.common.connection.ConnectionAcceptor}), connections that reconnect
 * automatically ({@link gladelug.common.connection.PersistentConnection}), and the detection of
 * dead peers by read time-outs. Delivery is best effort: a record may be lost with its connection,
 * and every protocol retransmits. Runs on Vert.x event loops.
 */
package gladelug.common.connection;
