/** Allocates each service's request slots to tenants, shares and relays across the fleet. */
package gladelug.control.capacity;
