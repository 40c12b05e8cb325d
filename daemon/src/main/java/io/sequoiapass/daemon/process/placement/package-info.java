/**
 * Decides which endpoint runs a request, which adapters the endpoints hold, and when a load goes to
 * the weight store. Plain decision objects: events and the time in, actions out.
 */
package io.sequoiapass.daemon.process.placement;
