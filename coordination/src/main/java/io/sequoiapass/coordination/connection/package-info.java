/**
 * State kept for the lifetime of a connection to an endpoint: its circuit breaker and outlier
 * detection.
 */
package io.sequoiapass.coordination.connection;
