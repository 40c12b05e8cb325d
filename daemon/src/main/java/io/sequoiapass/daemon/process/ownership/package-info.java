/** Drives leases, membership and ownership with real messages and calls to the platform. */
package io.sequoiapass.daemon.process.ownership;
