/** State of one request: choosing an endpoint, forwarding the request and relaying the answer. */
package io.sequoiapass.gateway.request;
