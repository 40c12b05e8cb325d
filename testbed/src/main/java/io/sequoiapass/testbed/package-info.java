/** Stand-ins, fault proxy, load tool and demo. */
package io.sequoiapass.testbed;
