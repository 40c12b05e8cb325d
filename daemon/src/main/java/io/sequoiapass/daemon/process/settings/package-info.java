/** Settings of a process: flags and environment variables, validated before the process starts. */
package io.sequoiapass.daemon.process.settings;
