/**
 * Selects the endpoint of each request, the adapters that endpoints hold, and the time of each load
 * from the weight store. Pure decision logic: it takes events and the time, and returns actions.
 */
package io.sequoiapass.daemon.process.placement;
