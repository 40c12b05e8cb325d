/** What lives for a version of the configuration. */
package io.sequoiapass.daemon.version;
