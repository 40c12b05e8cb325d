package io.sequoiapass.daemon.process.ownership;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.OperationId;
import io.sequoiapass.coordination.process.LeaseAction;
import io.sequoiapass.coordination.process.LeaseManager;
import io.sequoiapass.coordination.process.StoredLease;
import io.sequoiapass.coordination.version.WriteAnswer;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import io.sequoiapass.daemon.connection.peer.PeerMessage.RelayResult;
import io.sequoiapass.daemon.connection.platform.PlatformClient;
import io.sequoiapass.daemon.connection.platform.StoredObject;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Sends calls for this daemon's lease to the platform, directly or through a peer, and relays such
 * calls for peers.
 *
 * <p>Safe for use by several threads.
 */
final class Relays {

  private static final String LEASE = "lease";

  /**
   * Maximum number of pending relayed calls; a lease manager has one at a time, so older ones are
   * lost.
   */
  private static final int MAX_PENDING = 16;

  private final PlatformClient platform;
  private final OwnershipPeers peers;
  private final MillisClock clock;
  private final AtomicLong calls = new AtomicLong();
  private final Map<Long, Consumer<PeerMessage.RelayAnswer>> pending = new ConcurrentHashMap<>();

  /** Delivers an answer to the lease manager, under the lock that guards it. */
  @FunctionalInterface
  interface AnswerDelivery {
    void accept(Consumer<LeaseManager> answer);
  }

  Relays(PlatformClient platform, OwnershipPeers peers, MillisClock clock) {
    this.platform = Objects.requireNonNull(platform, "platform");
    this.peers = Objects.requireNonNull(peers, "peers");
    this.clock = Objects.requireNonNull(clock, "clock");
  }

  /** Performs the call requested by a lease manager. */
  void send(LeaseAction action, DaemonId self, AnswerDelivery delivery) {
    if (action.relay().isPresent()) {
      sendThroughPeer(action, delivery);
    } else if (action instanceof LeaseAction.Renew renew) {
      platform
          .put(
              LEASE,
              self.value(),
              LeaseCodec.json(renew.lease()),
              renew.expectedVersion(),
              renew.operation())
          .thenAccept(
              answer -> delivery.accept(leaseManager -> renewed(leaseManager, renew, answer)));
    } else {
      platform
          .read(LEASE, self.value())
          .whenComplete(
              (stored, failure) -> delivery.accept(leaseManager -> read(leaseManager, stored)));
    }
  }

  private void renewed(LeaseManager leaseManager, LeaseAction.Renew renew, WriteAnswer answer) {
    leaseManager.renewalAnswered(clock.millis(), renew.operation(), answer);
  }

  private void read(LeaseManager leaseManager, Optional<StoredObject> stored) {
    if (stored == null) {
      leaseManager.readFailed(clock.millis());
    } else {
      leaseManager.readAnswered(
          clock.millis(),
          stored.flatMap(object -> LeaseCodec.lease(object.version(), object.value())));
    }
  }

  private void sendThroughPeer(LeaseAction action, AnswerDelivery delivery) {
    long call = calls.incrementAndGet();
    pending.keySet().removeIf(old -> old <= call - MAX_PENDING);
    pending.put(
        call, answer -> delivery.accept(leaseManager -> relayed(leaseManager, action, answer)));
    PeerMessage.RelayCall message =
        action instanceof LeaseAction.Renew renew
            ? new PeerMessage.RelayCall(
                call,
                renew.operation().value(),
                renew.expectedVersion(),
                LeaseCodec.text(LeaseCodec.json(renew.lease())))
            : new PeerMessage.RelayCall(call, "", 0, "");
    peers.send(action.relay().orElseThrow(), message);
  }

  private void relayed(
      LeaseManager leaseManager, LeaseAction action, PeerMessage.RelayAnswer answer) {
    if (action instanceof LeaseAction.Renew renew) {
      renewed(leaseManager, renew, writeAnswer(answer));
    } else if (answer.result() == RelayResult.READ) {
      JsonObject value = answer.value().isEmpty() ? null : LeaseCodec.parse(answer.value());
      Optional<StoredLease> lease = LeaseCodec.lease(answer.version(), value);
      leaseManager.readAnswered(clock.millis(), lease);
    } else {
      leaseManager.readFailed(clock.millis());
    }
  }

  private static WriteAnswer writeAnswer(PeerMessage.RelayAnswer answer) {
    return switch (answer.result()) {
      case STORED -> new WriteAnswer.Stored(answer.version());
      case CONFLICT ->
          new WriteAnswer.Conflict(
              answer.version(),
              Optional.of(answer.operation())
                  .filter(text -> !text.isEmpty())
                  .map(OperationId::new));
      case READ, LOST -> new WriteAnswer.Lost();
    };
  }

  /** Processes the answer to a call that a peer relayed. */
  void answered(PeerMessage.RelayAnswer answer) {
    Consumer<PeerMessage.RelayAnswer> handler = pending.remove(answer.call());
    if (handler != null) {
      handler.accept(answer);
    }
  }

  /** Relays a peer's call for the peer's own lease; no other calls are relayed. */
  void serve(DaemonId peer, PeerMessage.RelayCall call) {
    if (call.operation().isEmpty()) {
      platform
          .read(LEASE, peer.value())
          .whenComplete((stored, failure) -> peers.send(peer, readAnswer(call.call(), stored)));
      return;
    }
    JsonObject value;
    OperationId operation;
    try {
      value = LeaseCodec.parse(call.value());
      operation = new OperationId(call.operation());
    } catch (JsonParseException | IllegalArgumentException malformed) {
      return;
    }
    platform
        .put(LEASE, peer.value(), value, call.expectedVersion(), operation)
        .thenAccept(answer -> peers.send(peer, relayAnswer(call.call(), answer)));
  }

  private static PeerMessage.RelayAnswer readAnswer(long call, Optional<StoredObject> stored) {
    if (stored == null) {
      return new PeerMessage.RelayAnswer(call, RelayResult.LOST, 0, "", "");
    }
    return stored
        .map(
            object ->
                new PeerMessage.RelayAnswer(
                    call, RelayResult.READ, object.version(), "", LeaseCodec.text(object.value())))
        .orElse(new PeerMessage.RelayAnswer(call, RelayResult.READ, 0, "", ""));
  }

  private static PeerMessage.RelayAnswer relayAnswer(long call, WriteAnswer answer) {
    if (answer instanceof WriteAnswer.Stored stored) {
      return new PeerMessage.RelayAnswer(call, RelayResult.STORED, stored.version(), "", "");
    }
    if (answer instanceof WriteAnswer.Conflict conflict) {
      String operation = conflict.operation().map(OperationId::value).orElse("");
      return new PeerMessage.RelayAnswer(
          call, RelayResult.CONFLICT, conflict.version(), operation, "");
    }
    return new PeerMessage.RelayAnswer(call, RelayResult.LOST, 0, "", "");
  }
}
