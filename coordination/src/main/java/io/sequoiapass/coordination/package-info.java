/** Identifiers and the clock shared by all coordination packages. */
package io.sequoiapass.coordination;
