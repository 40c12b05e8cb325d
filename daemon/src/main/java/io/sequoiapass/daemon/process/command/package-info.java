/** Commands of the program. */
package io.sequoiapass.daemon.process.command;
