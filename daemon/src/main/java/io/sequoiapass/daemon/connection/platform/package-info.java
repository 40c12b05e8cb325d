/** The client side of the platform's object API. */
package io.sequoiapass.daemon.connection.platform;
