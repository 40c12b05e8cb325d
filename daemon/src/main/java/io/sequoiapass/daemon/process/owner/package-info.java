/** Owner side: sends orders and requests to the endpoints that this daemon owns. */
package io.sequoiapass.daemon.process.owner;
