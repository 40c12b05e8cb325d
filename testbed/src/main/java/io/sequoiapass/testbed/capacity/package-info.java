/** Measures how state, time and bytes grow with the size of the fleet. */
package io.sequoiapass.testbed.capacity;
