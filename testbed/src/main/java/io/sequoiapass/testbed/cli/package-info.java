/** Flags of the testbed's commands. */
package io.sequoiapass.testbed.cli;
