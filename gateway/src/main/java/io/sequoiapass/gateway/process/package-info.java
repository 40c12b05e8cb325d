/** What lives for the process: endpoints, the coordinator's lease and plan, the daemon itself. */
package io.sequoiapass.gateway.process;
