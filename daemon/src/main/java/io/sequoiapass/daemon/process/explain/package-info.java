/** Analysis of daemons' decision logs: which requests were late or failed, and why. */
package io.sequoiapass.daemon.process.explain;
