/** Messages between daemons and their frames. */
package io.sequoiapass.gateway.connection;
