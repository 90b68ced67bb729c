/**
 * The values of the control state as all processes read them: the operators' configuration, the
 * assigned weights, the list of replicas and the members of the core. Values are immutable and are
 * parsed from JSON; each finding names its position, and a text with a finding yields no value.
 */
package gladelug.common.configuration;
