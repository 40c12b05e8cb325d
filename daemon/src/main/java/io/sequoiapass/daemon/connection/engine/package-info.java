/** The client side of the engines' protocol. */
package io.sequoiapass.daemon.connection.engine;
