/**
 * Configuration as immutable versioned snapshots, and the rules for the platform calls that read
 * and change it.
 */
package io.sequoiapass.coordination.version;
