/** Open-loop load on the daemons, with a check of every answer. */
package io.sequoiapass.testbed.load;
