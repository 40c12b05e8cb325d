/** What lives for one request: its way to an endpoint and its answer's way back. */
package io.sequoiapass.gateway.request;
