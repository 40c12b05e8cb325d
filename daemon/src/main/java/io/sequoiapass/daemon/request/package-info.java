/** Per-request state: the caller side at the entry, and the endpoint side at the owner. */
package io.sequoiapass.daemon.request;
