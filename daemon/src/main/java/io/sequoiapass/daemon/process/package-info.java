/**
 * The entry daemon's process: its assembly, timers, planned stop, log events and operators' API.
 */
package io.sequoiapass.daemon.process;
