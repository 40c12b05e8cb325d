/** What the testbed's parts say to each other and to the daemons, as written on the wire. */
package io.sequoiapass.testbed.wire;
