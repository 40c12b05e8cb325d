package io.sequoiapass.daemon.process.entry;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.daemon.connection.peer.PeerChannel;

/**
 * Is where one attempt goes.
 *
 * @param endpoint the endpoint that is to run it
 * @param owner the connection to the endpoint's owner
 */
public record Route(EndpointId endpoint, PeerChannel owner) {}
