/** The owner's side: orders and requests to the endpoints that this daemon owns. */
package io.sequoiapass.daemon.process.owner;
