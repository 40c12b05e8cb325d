/** Numbered log events and their output formats. */
package io.sequoiapass.daemon.process.log;
