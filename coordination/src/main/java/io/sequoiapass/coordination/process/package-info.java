/** Decisions that live as long as the process: membership, leases and ownership of endpoints. */
package io.sequoiapass.coordination.process;
