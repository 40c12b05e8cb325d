/** Command line of the testbed: stand-ins, fault proxy, load tool, measurements and demo. */
package io.sequoiapass.testbed;
