/** Decision logic with process-long state: membership, leases and ownership of endpoints. */
package io.sequoiapass.coordination.process;
