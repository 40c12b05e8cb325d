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

/** Holds one request at its entry; guarded by the lock of its shard. */
final class EntryRequest {

  private final CallerRequest request;
  private final ConfigurationSnapshot snapshot;
  private final RequestAttempts attempts;
  private final CallerAnswer answer;
  private final long acceptedAt;
  private final Map<Integer, Route> routes = new HashMap<>();
  private Optional<PeerMessage.ServiceAnswer> serviceAnswer = Optional.empty();
  private boolean firstTokenSeen;
  private boolean paused;

  EntryRequest(
      CallerRequest request,
      ConfigurationSnapshot snapshot,
      RequestAttempts attempts,
      CallerAnswer answer,
      long acceptedAt) {
    this.request = request;
    this.snapshot = snapshot;
    this.attempts = attempts;
    this.answer = answer;
    this.acceptedAt = acceptedAt;
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

  long agedMs(long nowMs) {
    return nowMs - acceptedAt;
  }

  AttemptId attempt(int number) {
    return new AttemptId(request.id(), number);
  }

  void routed(int attempt, Route route) {
    routes.put(attempt, route);
  }

  void movedTo(int attempt, EndpointId endpoint) {
    routes.computeIfPresent(attempt, (number, route) -> new Route(endpoint, route.owner()));
  }

  Optional<Route> route(int attempt) {
    return Optional.ofNullable(routes.get(attempt));
  }

  Map<Integer, Route> routes() {
    return routes;
  }

  void hold(PeerMessage.ServiceAnswer received) {
    serviceAnswer = Optional.of(received);
  }

  Optional<PeerMessage.ServiceAnswer> serviceAnswer() {
    return serviceAnswer;
  }

  /** Returns what it runs on, or empty for a plain service. */
  static Optional<AdapterVersion> runsOn(CallerRequest request) {
    return request.target() instanceof RouteTarget.Engine engine
        ? Optional.of(engine.adapter())
        : Optional.empty();
  }

  /** Returns true the first time. */
  boolean takeFirstToken() {
    boolean first = !firstTokenSeen;
    firstTokenSeen = true;
    return first;
  }

  /** Notes whether the caller's connection takes more; returns whether that is news. */
  boolean pause(boolean pause) {
    boolean news = paused != pause;
    paused = pause;
    return news;
  }
}
