/**
 * Infrastructure shared by all programs: starting and stopping of named services, settings and
 * findings, logging, time and worker threads. It doesn't depend on any other package of the
 * project's domain.
 *
 * <p>A program is a list of services in a {@link gladelug.common.ServiceRegistry}, run by {@link
 * gladelug.common.Program}. Text written by people is parsed into a {@link gladelug.common.Result}:
 * a value, or all findings with their positions. Stateful code runs on a {@link
 * gladelug.common.SingleThreadWorker} and reads time only from {@link gladelug.common.Clock} , so
 * that the simulator can run it.
 */
package gladelug.common;
