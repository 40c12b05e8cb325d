/** Frames and links between daemons. */
package io.sequoiapass.gateway.connection;
