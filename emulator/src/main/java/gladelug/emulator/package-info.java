/**
 * The program fleet-emulator, never deployed: a complete fleet of real processes on one machine,
 * with stand-ins for callers, replicas, store, application and platform. Only the ledgers of the
 * stand-ins are checked. It depends on all modules; none depends on it.
 */
package gladelug.emulator;
