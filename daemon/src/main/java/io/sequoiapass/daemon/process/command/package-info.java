/** The commands of the one binary. */
package io.sequoiapass.daemon.process.command;
