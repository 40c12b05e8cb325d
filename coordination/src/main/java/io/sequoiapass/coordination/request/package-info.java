/**
 * State kept for the lifetime of a request: its outcome, attempts, idempotency record and place in
 * the admission queue. All types are plain decision objects: they take events and the time, and
 * return typed actions.
 */
package io.sequoiapass.coordination.request;
