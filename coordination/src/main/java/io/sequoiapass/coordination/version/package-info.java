/** Configuration, one immutable snapshot a version, and the calls that read and change it. */
package io.sequoiapass.coordination.version;
