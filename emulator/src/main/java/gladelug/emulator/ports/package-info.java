/** Addresses on loopback for processes that are started later. */
package gladelug.emulator.ports;
