/** The events that one process remembers, and the merge of what several processes remember. */
package io.sequoiapass.daemon.process.timeline;
