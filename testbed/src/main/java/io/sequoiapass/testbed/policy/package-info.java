/** Simulation that compares placement policies on the same arrivals in virtual time. */
package io.sequoiapass.testbed.policy;
