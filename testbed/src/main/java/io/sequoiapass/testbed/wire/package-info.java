/** Wire format and blocking HTTP client of the testbed. */
package io.sequoiapass.testbed.wire;
