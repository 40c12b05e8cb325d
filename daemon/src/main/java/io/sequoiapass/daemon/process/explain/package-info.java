/** Reads the lines that daemons wrote for their decisions and says where callers lost what. */
package io.sequoiapass.daemon.process.explain;
