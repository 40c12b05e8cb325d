/** Connects the lease, membership and ownership logic to peer messages and platform calls. */
package io.sequoiapass.daemon.process.ownership;
