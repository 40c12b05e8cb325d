/** Keeps a daemon's configuration in step with the platform and its peers. */
package io.sequoiapass.daemon.version;
