/**
 * State with the lifetime of the process: endpoints, the coordinator's lease and plan, the daemon.
 */
package io.sequoiapass.gateway.process;
