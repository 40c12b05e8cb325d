/** Entry side of the daemon: callers' requests, their routing and their answers. */
package io.sequoiapass.daemon.process.entry;
