package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.daemon.connection.HttpStream;
import io.sequoiapass.daemon.connection.HttpStreamListener;
import io.sequoiapass.daemon.connection.HttpTransport;
import io.sequoiapass.gateway.connection.PeerRequest;
import io.sequoiapass.gateway.process.PathMonitor;
import io.sequoiapass.gateway.process.PeerDirectory;
import io.sequoiapass.gateway.spi.CallerProtocol;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Sends requests through peers while this daemon has no path to the endpoints.
 *
 * <p>Safe for use by several threads.
 *
 * @param self this daemon
 * @param path whether it has a path to the endpoints
 * @param peers the daemons that have one
 * @param http opens connections to peers
 * @param callers the wire protocol of the callers
 */
public record PeerForwarder(
    DaemonId self,
    PathMonitor path,
    PeerDirectory peers,
    HttpTransport http,
    CallerProtocol callers) {

  /** Returns whether requests have to be sent through peers. */
  boolean isNeeded() {
    return path.isLost();
  }

  /** Returns whether a peer can take a request. */
  boolean isAvailable(AvoidedRecipients avoided) {
    return peers.isAvailable(avoided.peers());
  }

  /** Chooses a peer and records that a request is sent there; empty if there is none. */
  Optional<PeerDirectory.PeerTicket> begin(AvoidedRecipients avoided) {
    return peers.begin(avoided.peers());
  }

  /**
   * Sends a request.
   *
   * @param ticket the peer
   * @param forward the caller's request
   * @param decided what this daemon has decided on it
   * @param timeoutMs maximum time until the response is complete, in milliseconds
   * @param listener receives the response
   */
  HttpStream send(
      PeerDirectory.PeerTicket ticket,
      ForwardedRequest forward,
      PeerRequest decided,
      long timeoutMs,
      HttpStreamListener listener) {
    Map<String, String> headers =
        new LinkedHashMap<>(callers.forwardedHeaders(forward.request().headers()));
    headers.put(PeerRequest.HEADER, decided.encode());
    HttpCall call =
        HttpCall.to(ticket.address(), forward.request().method(), forward.request().target())
            .headers(headers)
            .body(forward.request().body())
            .reuse(forward.reusePolicy())
            .resetIfAbandoned()
            .onBehalfOf(forward.caller());
    return http.stream(call, timeoutMs, listener);
  }
}
