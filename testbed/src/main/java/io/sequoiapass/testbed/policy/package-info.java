/** Compares placement policies on the same arrivals in virtual time. */
package io.sequoiapass.testbed.policy;
