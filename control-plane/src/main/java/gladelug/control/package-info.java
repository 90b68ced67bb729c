/**
 * The control-plane program: its settings, its data folder, and the wiring of its services. The
 * entry point is {@link gladelug.control.ControlPlane}.
 */
package gladelug.control;
