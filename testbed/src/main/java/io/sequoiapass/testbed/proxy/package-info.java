/** TCP proxy that injects network faults. */
package io.sequoiapass.testbed.proxy;
