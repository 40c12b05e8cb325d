/** Starts, signals and ends processes; nothing else of the project does. */
package io.sequoiapass.testbed.launch;
