package io.sequoiapass.gateway.process;

import io.netty.handler.codec.http.HttpHeaders;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.daemon.connection.ConnectionLimits;
import io.sequoiapass.daemon.connection.HttpHandler;
import io.sequoiapass.daemon.connection.HttpRequestMessage;
import io.sequoiapass.daemon.connection.HttpResponder;
import io.sequoiapass.gateway.connection.LinkFrames;
import io.sequoiapass.gateway.connection.PeerRequest;
import io.sequoiapass.gateway.request.CallerAccess;
import io.sequoiapass.gateway.request.CallerExchange;
import io.sequoiapass.gateway.request.ErrorFormat;
import io.sequoiapass.gateway.request.RelayContext;
import io.sequoiapass.gateway.request.RequestOrigin;
import io.sequoiapass.gateway.spi.CallerFacts;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;

/**
 * Accepts requests that other daemons have accepted from callers and cannot send to endpoints
 * themselves. Safe for use by several threads.
 */
final class PeerHandler implements HttpHandler {

  /** Largest size of the header that a daemon adds to the request, in bytes. */
  private static final int MAX_PEER_REQUEST_BYTES = 4 << 10;

  /** Longer than daemons reuse idle connections, in milliseconds. */
  private static final int IDLE_TIMEOUT_MS = 10_000;

  private final RelayContext context;
  private final CallerHandler callers;
  private final WorkspaceGate gate;
  private final BooleanSupplier stopping;

  /**
   * Creates a handler.
   *
   * @param context the dependencies that all requests share
   * @param callers starts the requests
   * @param gate checks API keys again
   * @param stopping whether this daemon takes no new work
   */
  PeerHandler(
      RelayContext context, CallerHandler callers, WorkspaceGate gate, BooleanSupplier stopping) {
    this.context = context;
    this.callers = callers;
    this.gate = gate;
    this.stopping = stopping;
  }

  /** Returns the limits of connections from peers; those of callers hold for their requests. */
  static ConnectionLimits limits(ConnectionLimits ofCallers) {
    return new ConnectionLimits(
        ofCallers.maxHeaderBytes() + MAX_PEER_REQUEST_BYTES,
        ofCallers.maxBodyBytes(),
        ofCallers.headerTimeoutMs(),
        IDLE_TIMEOUT_MS);
  }

  @Override
  public void handle(HttpRequestMessage request, HttpResponder responder) {
    CallerFacts facts = context.callers().read(request);
    Optional<PeerRequest> decided = decode(request);
    if (decided.isEmpty()) {
      refuse(ErrorKind.MALFORMED_REQUEST, facts, responder);
    } else if (stopping.getAsBoolean()) {
      refuse(ErrorKind.DRAINING, facts, responder);
    } else {
      start(decided.get(), request, facts, responder);
    }
  }

  private static Optional<PeerRequest> decode(HttpRequestMessage request) {
    try {
      return Optional.of(PeerRequest.decode(request.header(PeerRequest.HEADER).orElse("")));
    } catch (LinkFrames.FormatException e) {
      return Optional.empty();
    }
  }

  private void start(
      PeerRequest decided, HttpRequestMessage request, CallerFacts facts, HttpResponder responder) {
    context
        .log()
        .request("accepted_from_peer", facts.requestId())
        .with("peer", decided.from())
        .with("left_ms", decided.remainingMs())
        .write();
    // The peer that accepted the request has charged it to its workspace.
    CallerAccess access =
        new CallerAccess(
            decided.identity(),
            decided.priority(),
            () -> gate.recheck(decided.identity(), decided.route(), facts),
            () -> {});
    RequestOrigin origin = RequestOrigin.peer(decided, context.clock().millis());
    HttpHeaders headers = request.headers().copy().remove(PeerRequest.HEADER);
    HttpRequestMessage original =
        new HttpRequestMessage(request.method(), request.target(), headers, request.body());
    if (decided.earnsRetries()) {
      callers.requestHandedOn(decided.service());
    }
    callers.start(
        decided.service(),
        decided.route(),
        new CallerExchange(original, facts, access, origin, responder));
  }

  private void refuse(ErrorKind kind, CallerFacts facts, HttpResponder responder) {
    ErrorFormat.PEER.send(context.callers(), facts, responder, kind, OptionalLong.empty());
  }
}
