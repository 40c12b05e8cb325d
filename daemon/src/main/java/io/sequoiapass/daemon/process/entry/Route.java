package io.sequoiapass.daemon.process.entry;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.daemon.connection.peer.PeerChannel;

/**
 * Destination of one attempt.
 *
 * @param endpoint the endpoint that runs it
 * @param owner the connection to the endpoint's owner
 */
public record Route(EndpointId endpoint, PeerChannel owner) {}
