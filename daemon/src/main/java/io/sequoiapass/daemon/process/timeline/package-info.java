/** Timelines: the recent events of one process, and the merge of several processes' timelines. */
package io.sequoiapass.daemon.process.timeline;
