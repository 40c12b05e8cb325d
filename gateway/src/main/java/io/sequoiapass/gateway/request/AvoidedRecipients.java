package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import java.util.HashSet;
import java.util.Set;

/** Endpoints and peers that a request must not be sent to again. Not thread-safe. */
final class AvoidedRecipients {

  private final Set<EndpointId> endpoints = new HashSet<>();
  private final Set<DaemonId> peers = new HashSet<>();

  void add(EndpointId endpoint) {
    endpoints.add(endpoint);
  }

  void add(DaemonId peer) {
    peers.add(peer);
  }

  void clear() {
    endpoints.clear();
    peers.clear();
  }

  Set<EndpointId> endpoints() {
    return Set.copyOf(endpoints);
  }

  Set<DaemonId> peers() {
    return Set.copyOf(peers);
  }

  /** Returns a copy that contains one attempt's recipient, too. */
  AvoidedRecipients with(RelayAttempt attempt) {
    AvoidedRecipients copy = new AvoidedRecipients();
    copy.endpoints.addAll(endpoints);
    copy.peers.addAll(peers);
    attempt.avoidFrom(copy);
    return copy;
  }
}
