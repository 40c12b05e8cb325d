package io.sequoiapass.gateway.request;

import io.sequoiapass.daemon.connection.HttpRequestMessage;
import io.sequoiapass.daemon.connection.HttpResponder;

/**
 * A caller's request and its responder.
 *
 * @param request the request
 * @param responder sends the answer
 */
public record CallerExchange(HttpRequestMessage request, HttpResponder responder) {}
