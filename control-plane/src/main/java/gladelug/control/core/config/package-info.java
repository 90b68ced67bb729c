/** The member set of a core generation, which every part of the core depends on. */
package gladelug.control.core.config;
