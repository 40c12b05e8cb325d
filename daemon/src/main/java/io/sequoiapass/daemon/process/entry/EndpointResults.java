package io.sequoiapass.daemon.process.entry;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.connection.EndpointHealth;
import io.sequoiapass.coordination.connection.HealthSettings;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import io.sequoiapass.daemon.connection.peer.PeerMessage.AttemptId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reports the result of each attempt to the health record of its endpoint, exactly once.
 *
 * <p>Guarded by the lock of its shard.
 */
final class EndpointResults {

  private final EndpointHealth health = new EndpointHealth(HealthSettings.DEFAULT);
  private final Map<AttemptId, EndpointId> open = new HashMap<>();

  /** Returns the endpoints that receive no requests because earlier requests failed on them. */
  Set<EndpointId> excluded(long nowMs) {
    return health.excluded(nowMs);
  }

  /** Returns whether another attempt of the same request is in flight on an endpoint. */
  boolean hasOtherAttempt(AttemptId attempt, EndpointId endpoint) {
    return open.entrySet().stream()
        .anyMatch(
            other ->
                other.getValue().equals(endpoint)
                    && other.getKey().request().equals(attempt.request())
                    && other.getKey().attempt() != attempt.attempt());
  }

  /** Records that an attempt was sent to an endpoint, or moved there by its owner. */
  void sent(AttemptId attempt, EndpointId endpoint, long nowMs) {
    withdrawn(attempt, nowMs);
    open.put(attempt, endpoint);
    health.sent(endpoint, nowMs);
  }

  /** Updates the endpoint's health from an owner's frame. */
  void received(PeerMessage.OfAttempt message, long nowMs) {
    if (message instanceof PeerMessage.Started started) {
      sent(started.id(), started.endpoint(), nowMs);
    } else if (message instanceof PeerMessage.Finished
        || message instanceof PeerMessage.ServiceAnswer) {
      succeeded(message.id(), nowMs);
    } else if (message instanceof PeerMessage.EndpointLost) {
      failed(message.id(), nowMs);
    } else if (message instanceof PeerMessage.Refused refused) {
      refused(refused, nowMs);
    }
  }

  private void refused(PeerMessage.Refused refused, long nowMs) {
    boolean unavailable =
        refused.kind() == ErrorKind.ENDPOINT_LOST_BEFORE_START
            || refused.kind() == ErrorKind.NO_ENDPOINT;
    if (unavailable) {
      failed(refused.id(), nowMs);
    } else {
      withdrawn(refused.id(), nowMs);
    }
  }

  private void succeeded(AttemptId attempt, long nowMs) {
    EndpointId endpoint = open.remove(attempt);
    if (endpoint != null) {
      health.succeeded(endpoint, nowMs);
    }
  }

  private void failed(AttemptId attempt, long nowMs) {
    EndpointId endpoint = open.remove(attempt);
    if (endpoint != null) {
      health.failed(endpoint, nowMs);
    }
  }

  /** Records that an attempt ended without evidence about the health of its endpoint. */
  void withdrawn(AttemptId attempt, long nowMs) {
    EndpointId endpoint = open.remove(attempt);
    if (endpoint != null) {
      health.withdrawn(endpoint, nowMs);
    }
  }

  /** Ends a request; attempts still in flight do not count for or against their endpoints. */
  void requestEnded(EntryRequest entry, long nowMs) {
    for (int attempt : List.copyOf(entry.routes().keySet())) {
      withdrawn(entry.attempt(attempt), nowMs);
    }
  }
}
