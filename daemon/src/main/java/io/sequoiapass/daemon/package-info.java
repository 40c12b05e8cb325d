/** The one binary: its commands and the entry daemon. */
package io.sequoiapass.daemon;
