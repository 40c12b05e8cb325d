/** Settings of a process: flags and environment variables, checked before anything starts. */
package io.sequoiapass.daemon.process.settings;
