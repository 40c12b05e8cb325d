package io.sequoiapass.daemon.process.entry;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.request.RequestAttempts;
import io.sequoiapass.coordination.version.ConfigurationSnapshot;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import io.sequoiapass.daemon.connection.peer.PeerMessage.AttemptId;
import io.sequoiapass.daemon.request.CallerAnswer;
import io.sequoiapass.daemon.request.CallerRequest;
import io.sequoiapass.daemon.request.RouteTarget;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** State of one request at its entry daemon; guarded by the lock of its shard. */
final class EntryRequest {

  private final CallerRequest request;
  private final ConfigurationSnapshot snapshot;
  private final RequestAttempts attempts;
  private final CallerAnswer answer;
  private final long acceptedAtMs;
  private final Map<Integer, Route> routes = new HashMap<>();
  private Optional<PeerMessage.ServiceAnswer> serviceAnswer = Optional.empty();
  private boolean firstTokenSeen;
  private boolean paused;

  EntryRequest(
      CallerRequest request,
      ConfigurationSnapshot snapshot,
      RequestAttempts attempts,
      CallerAnswer answer,
      long acceptedAtMs) {
    this.request = request;
    this.snapshot = snapshot;
    this.attempts = attempts;
    this.answer = answer;
    this.acceptedAtMs = acceptedAtMs;
  }

  CallerRequest request() {
    return request;
  }

  ConfigurationSnapshot snapshot() {
    return snapshot;
  }

  RequestAttempts attempts() {
    return attempts;
  }

  CallerAnswer answer() {
    return answer;
  }

  long ageMs(long nowMs) {
    return nowMs - acceptedAtMs;
  }

  AttemptId attempt(int number) {
    return new AttemptId(request.id(), number);
  }

  void routed(int attempt, Route route) {
    routes.put(attempt, route);
  }

  void endpointChanged(int attempt, EndpointId endpoint) {
    routes.computeIfPresent(attempt, (number, route) -> new Route(endpoint, route.owner()));
  }

  Optional<Route> route(int attempt) {
    return Optional.ofNullable(routes.get(attempt));
  }

  Map<Integer, Route> routes() {
    return routes;
  }

  void serviceAnswer(PeerMessage.ServiceAnswer received) {
    serviceAnswer = Optional.of(received);
  }

  Optional<PeerMessage.ServiceAnswer> serviceAnswer() {
    return serviceAnswer;
  }

  /** Returns the adapter version that the request runs on; empty for a plain service. */
  static Optional<AdapterVersion> runsOn(CallerRequest request) {
    return request.target() instanceof RouteTarget.Engine engine
        ? Optional.of(engine.adapter())
        : Optional.empty();
  }

  /** Returns true on the first call only. */
  boolean markFirstToken() {
    boolean first = !firstTokenSeen;
    firstTokenSeen = true;
    return first;
  }

  /** Sets whether reading of the answer is paused; returns whether that changed. */
  boolean setPaused(boolean pause) {
    boolean changed = paused != pause;
    paused = pause;
    return changed;
  }
}
