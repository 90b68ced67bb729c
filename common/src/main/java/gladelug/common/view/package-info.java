/**
 * Discovery: each process keeps a bounded partial view of the fleet, which it exchanges with
 * neighbours, starting from the seed addresses. The view states whom to connect to and is never a
 * source of truth about the control state.
 */
package gladelug.common.view;
