/** The entry's side: requests of callers, their routes and their answers. */
package io.sequoiapass.daemon.process.entry;
