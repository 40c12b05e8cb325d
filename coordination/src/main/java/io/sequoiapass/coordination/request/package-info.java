/**
 * What lives for one request: its outcome, its attempts, its idempotency record and its place in a
 * queue. Plain decision objects: events and the time in, typed actions out.
 */
package io.sequoiapass.coordination.request;
