/** What lives as long as the process: the daemon and its parts. */
package io.sequoiapass.daemon.process;
