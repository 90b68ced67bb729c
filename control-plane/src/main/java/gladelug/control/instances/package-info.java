/**
 * Keeps the key of replicas equal to the platform's list of instances: {@link
 * gladelug.control.instances.InstanceListWatcher} runs the polls, {@link
 * gladelug.control.instances.InstanceListPoll} is one poll, and {@link
 * gladelug.control.instances.PendingObservation} is what a former owner still has to propose (rule
 * DRAIN: replicas that the platform drains get no new requests, also across a change of owners).
 */
package gladelug.control.instances;
