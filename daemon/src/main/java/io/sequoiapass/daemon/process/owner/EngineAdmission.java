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
 * Decides which attempts of one base model go on to the placement, when, and which are refused.
 *
 * <p>Attempts wait here while every stream place is taken, so that one queue decides whose turn it
 * is. What the placement holds has had its turn and waits for a load only; that is bounded too.
 * Guarded by the lock of its shard.
 */
final class EngineAdmission {

  /** Callers who name no service share one part among them. */
  private static final ServiceId UNNAMED = new ServiceId("unnamed");

  private final Optional<AdmissionSettings> ordinary;
  private final AdmissionQueue queue;
  private final Map<RequestId, AdmissionTicket> waiting = new HashMap<>();
  private final Set<RequestId> placing = new HashSet<>();
  private int maxPlacing;

  /**
   * Makes an admission under the limits of ordinary days.
   *
   * @param ordinary the limits, or empty to let everything pass
   * @param nowMs the time
   */
  EngineAdmission(Optional<AdmissionSettings> ordinary, long nowMs) {
    this.ordinary = ordinary;
    AdmissionSettings settings = ordinary.orElse(AdmissionSettings.DEFAULT);
    this.queue = new AdmissionQueue(settings, nowMs);
    this.maxPlacing = settings.maxQueued();
  }

  /** Applies the limits of a preset. */
  void apply(Preset preset) {
    ordinary.ifPresent(
        settings -> {
          AdmissionSettings limits = settings.bounded(preset::queueBound);
          queue.apply(limits);
          maxPlacing = limits.maxQueued();
        });
  }

  /** Returns whether attempts wait here; if not, they go to the placement at once. */
  boolean isOn() {
    return ordinary.isPresent();
  }

  /** Takes an attempt in; returns the one that is refused for it, if one is. */
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

  /** Returns whether one that waits may go on to the placement. */
  boolean hasTurn() {
    return queue.size() > 0 && placing.size() < maxPlacing;
  }

  /** Takes out the attempt whose turn it is, and those that are too late by now. */
  AdmissionQueue.Turn next(long nowMs) {
    AdmissionQueue.Turn turn = queue.poll(nowMs);
    turn.refused().forEach(refusal -> waiting.remove(refusal.ticket().request()));
    turn.next()
        .ifPresent(
            ticket -> {
              waiting.remove(ticket.request());
              placing.add(ticket.request());
            });
    return turn;
  }

  /** Takes out those that cannot meet their deadline any more. */
  List<AdmissionQueue.Refusal> expire(long nowMs) {
    List<AdmissionQueue.Refusal> refused = queue.expire(nowMs);
    refused.forEach(refusal -> waiting.remove(refusal.ticket().request()));
    return refused;
  }

  /** Takes an attempt out; returns false if it did not wait here. */
  boolean withdraw(RequestId id) {
    placing.remove(id);
    AdmissionTicket ticket = waiting.remove(id);
    return ticket != null && queue.withdraw(ticket);
  }

  /** Notes that the placement gave an attempt its place. */
  void placed(RequestId id) {
    placing.remove(id);
  }

  /** Notes that an attempt was served whole. */
  void served(Execution execution, long nowMs) {
    if (execution.place() != null) {
      queue.finished(costOf(execution.completion()), execution.ranMs(nowMs));
    }
  }

  /** Notes that an attempt was given up while it ran. */
  void abandoned(Execution execution, long nowMs) {
    if (execution.place() != null) {
      queue.abandoned(costOf(execution.completion()), execution.ranMs(nowMs));
    }
  }

  /** Returns how many attempts wait here. */
  int size() {
    return queue.size();
  }
}
