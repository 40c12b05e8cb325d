/** Identifiers and the clock that all coordination parts share. */
package io.sequoiapass.coordination;
