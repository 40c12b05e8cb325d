/** A TCP proxy that breaks connections on demand. */
package io.sequoiapass.testbed.proxy;
