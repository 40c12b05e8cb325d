/** Benchmarks of the growth of memory, time and traffic with the size of the fleet. */
package io.sequoiapass.testbed.capacity;
