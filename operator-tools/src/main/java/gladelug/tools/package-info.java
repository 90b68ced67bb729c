/**
 * Command-line tools for operators. The commands send HTTP requests to the operator addresses of
 * control machines, relays and indexes, print the result and store nothing. Exit codes: 0 success,
 * 1 request refused or subject unknown, 2 invalid usage, 3 no response.
 */
package gladelug.tools;
