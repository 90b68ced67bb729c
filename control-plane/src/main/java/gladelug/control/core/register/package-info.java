/**
 * The state that a core member stores for each key, in memory and on disk: the epochs it promised
 * and accepted, the newest value with its history, and the changes applied last, by which a
 * repeated change is recognized. Every later release must be able to read the bytes on disk; {@link
 * gladelug.control.core.register.DurableState} names the entries.
 */
package gladelug.control.core.register;
