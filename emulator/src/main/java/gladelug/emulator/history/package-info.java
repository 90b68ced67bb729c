/**
 * Operators' histories and their check for linearizability: a search for an order of effects of one
 * versioned register that explains every answer (Wing and Gong's search with Lowe's memoization).
 */
package gladelug.emulator.history;
