/** Starts, signals and kills the processes of a test cluster; no other package does. */
package io.sequoiapass.testbed.launch;
