package io.sequoiapass.daemon.process.ownership;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.OperationId;
import io.sequoiapass.coordination.process.LeaseAction;
import io.sequoiapass.coordination.process.LeaseKeeper;
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
 * Carries calls about a daemon's own lease to the platform, by itself or through a peer, and
 * carries such calls for peers.
 *
 * <p>Safe for use by several threads.
 */
final class Relays {

  private static final String LEASE = "lease";

  /** Relayed calls that wait for their answer; a keeper has one at a time, the rest are lost. */
  private static final int MAX_WAITING = 16;

  private final PlatformClient platform;
  private final OwnershipPeers peers;
  private final MillisClock clock;
  private final AtomicLong calls = new AtomicLong();
  private final Map<Long, Consumer<PeerMessage.RelayAnswer>> waiting = new ConcurrentHashMap<>();

  /** Hands an answer to the keeper, under whatever lock guards it. */
  @FunctionalInterface
  interface Answered {
    void accept(Consumer<LeaseKeeper> answer);
  }

  Relays(PlatformClient platform, OwnershipPeers peers, MillisClock clock) {
    this.platform = Objects.requireNonNull(platform, "platform");
    this.peers = Objects.requireNonNull(peers, "peers");
    this.clock = Objects.requireNonNull(clock, "clock");
  }

  /** Carries out what a keeper asks for. */
  void carry(LeaseAction action, DaemonId self, Answered answered) {
    if (action.relay().isPresent()) {
      throughPeer(action, answered);
    } else if (action instanceof LeaseAction.Renew renew) {
      platform
          .put(
              LEASE,
              self.value(),
              LeaseCodec.json(renew.lease()),
              renew.expectedVersion(),
              renew.operation())
          .thenAccept(answer -> answered.accept(keeper -> renewed(keeper, renew, answer)));
    } else {
      platform
          .read(LEASE, self.value())
          .whenComplete((stored, failure) -> answered.accept(keeper -> read(keeper, stored)));
    }
  }

  private void renewed(LeaseKeeper keeper, LeaseAction.Renew renew, WriteAnswer answer) {
    keeper.renewalAnswered(clock.millis(), renew.operation(), answer);
  }

  private void read(LeaseKeeper keeper, Optional<StoredObject> stored) {
    if (stored == null) {
      keeper.readFailed(clock.millis());
    } else {
      keeper.readAnswered(
          clock.millis(),
          stored.flatMap(object -> LeaseCodec.lease(object.version(), object.value())));
    }
  }

  private void throughPeer(LeaseAction action, Answered answered) {
    long call = calls.incrementAndGet();
    waiting.keySet().removeIf(old -> old <= call - MAX_WAITING);
    waiting.put(call, answer -> answered.accept(keeper -> relayed(keeper, action, answer)));
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

  private void relayed(LeaseKeeper keeper, LeaseAction action, PeerMessage.RelayAnswer answer) {
    if (action instanceof LeaseAction.Renew renew) {
      renewed(keeper, renew, writeAnswer(answer));
    } else if (answer.result() == RelayResult.READ) {
      JsonObject value = answer.value().isEmpty() ? null : LeaseCodec.parse(answer.value());
      Optional<StoredLease> lease = LeaseCodec.lease(answer.version(), value);
      keeper.readAnswered(clock.millis(), lease);
    } else {
      keeper.readFailed(clock.millis());
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

  /** Takes the answer to a call that a peer carried. */
  void answered(PeerMessage.RelayAnswer answer) {
    Consumer<PeerMessage.RelayAnswer> waits = waiting.remove(answer.call());
    if (waits != null) {
      waits.accept(answer);
    }
  }

  /** Carries a peer's call about its own lease; nothing else is relayed. */
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
