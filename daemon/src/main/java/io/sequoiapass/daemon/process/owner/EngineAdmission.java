package io.sequoiapass.daemon.process.owner;

import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.request.AdmissionQueue;
import io.sequoiapass.coordination.request.AdmissionSettings;
import io.sequoiapass.coordination.request.AdmissionTicket;
import io.sequoiapass.coordination.version.Preset;
import io.sequoiapass.daemon.connection.peer.ForwardedWork.Completion;
import io.sequoiapass.daemon.request.AttemptKeys;
import io.sequoiapass.daemon.request.Execution;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Admission control for the attempts of one base model: decides which are passed to the placement,
 * when, and which are refused.
 *
 * <p>Attempts wait here while all stream capacity is in use, so that one queue decides their order.
 * Attempts in the placement are admitted and wait for a load only; their number is bounded too.
 * Guarded by the lock of its shard.
 */
final class EngineAdmission {

  /** Service of all callers that name none; they share one portion of the queue. */
  private static final ServiceId UNNAMED = new ServiceId("unnamed");

  private final Optional<AdmissionSettings> ordinary;
  private final AdmissionQueue queue;
  private final Map<RequestId, AdmissionTicket> waiting = new HashMap<>();
  private final Set<RequestId> inPlacement = new HashSet<>();
  private int maxInPlacement;

  /**
   * Creates an admission control with the limits of ordinary operation.
   *
   * @param ordinary the limits, or empty to admit every attempt immediately
   * @param nowMs the time
   */
  EngineAdmission(Optional<AdmissionSettings> ordinary, long nowMs) {
    this.ordinary = ordinary;
    AdmissionSettings settings = ordinary.orElse(AdmissionSettings.DEFAULT);
    this.queue = new AdmissionQueue(settings, nowMs);
    this.maxInPlacement = settings.maxQueued();
  }

  /** Applies the limits of a preset. */
  void apply(Preset preset) {
    ordinary.ifPresent(
        settings -> {
          AdmissionSettings limits = settings.mapBounds(preset::queueBound);
          queue.apply(limits);
          maxInPlacement = limits.maxQueued();
        });
  }

  /** Returns whether attempts wait here; otherwise they are passed to the placement immediately. */
  boolean isEnabled() {
    return ordinary.isPresent();
  }

  /** Enqueues an attempt; returns the attempt that is refused for it, if any. */
  Optional<AdmissionQueue.Refusal> offer(Execution execution, long nowMs) {
    Completion work = execution.completion();
    AdmissionTicket ticket =
        new AdmissionTicket(
            AttemptKeys.of(execution.id()),
            work.service().orElse(UNNAMED),
            work.adapter().toString(),
            work.priority(),
            nowMs + execution.remainingMs(nowMs),
            costOf(work));
    waiting.put(ticket.request(), ticket);
    Optional<AdmissionQueue.Refusal> refused = queue.offer(ticket, nowMs);
    refused.ifPresent(refusal -> waiting.remove(refusal.ticket().request()));
    return refused;
  }

  private static double costOf(Completion work) {
    return Math.max(1, work.maxTokens() - work.resumeFrom());
  }

  /** Returns whether a waiting attempt may be passed to the placement. */
  boolean canAdmit() {
    return queue.size() > 0 && inPlacement.size() < maxInPlacement;
  }

  /** Dequeues the next attempt, and those that are too late. */
  AdmissionQueue.PollResult next(long nowMs) {
    AdmissionQueue.PollResult turn = queue.poll(nowMs);
    turn.refused().forEach(refusal -> waiting.remove(refusal.ticket().request()));
    turn.next()
        .ifPresent(
            ticket -> {
              waiting.remove(ticket.request());
              inPlacement.add(ticket.request());
            });
    return turn;
  }

  /** Dequeues attempts that cannot meet their deadline. */
  List<AdmissionQueue.Refusal> expire(long nowMs) {
    List<AdmissionQueue.Refusal> refused = queue.expire(nowMs);
    refused.forEach(refusal -> waiting.remove(refusal.ticket().request()));
    return refused;
  }

  /** Removes an attempt; returns false if it did not wait here. */
  boolean withdraw(RequestId id) {
    inPlacement.remove(id);
    AdmissionTicket ticket = waiting.remove(id);
    return ticket != null && queue.withdraw(ticket);
  }

  /** Records that the placement assigned an attempt to an endpoint. */
  void placed(RequestId id) {
    inPlacement.remove(id);
  }

  /** Records that an attempt received its complete answer. */
  void completed(Execution execution, long nowMs) {
    if (execution.assignment() != null) {
      queue.finished(costOf(execution.completion()), execution.ranMs(nowMs));
    }
  }

  /** Records that an attempt was abandoned while it ran. */
  void abandoned(Execution execution, long nowMs) {
    if (execution.assignment() != null) {
      queue.abandoned(costOf(execution.completion()), execution.ranMs(nowMs));
    }
  }

  /** Returns how many attempts wait here. */
  int size() {
    return queue.size();
  }
}
