/**
 * The HTTP endpoint for operators and the platform on a control-plane machine. {@link
 * gladelug.control.operator.OperatorEndpoint} defines the routes; each concern has its own handler.
 */
package gladelug.control.operator;
