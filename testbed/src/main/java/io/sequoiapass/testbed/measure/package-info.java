/** Measurements that stand in docs/MEASUREMENTS.md, each with its command. */
package io.sequoiapass.testbed.measure;
