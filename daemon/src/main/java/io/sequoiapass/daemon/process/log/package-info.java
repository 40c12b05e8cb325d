/** Numbered log events and the formats they are written in. */
package io.sequoiapass.daemon.process.log;
