/** Open-loop load generator for the daemons that checks every answer. */
package io.sequoiapass.testbed.load;
