/** Main class of the program: its commands and the entry daemon. */
package io.sequoiapass.daemon;
