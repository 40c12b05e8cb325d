package io.sequoiapass.daemon.process.owner;

import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.connection.ConcurrencyLimit;
import io.sequoiapass.coordination.request.AdmissionQueue;
import io.sequoiapass.coordination.request.AdmissionSettings;
import io.sequoiapass.coordination.request.AdmissionTicket;
import io.sequoiapass.coordination.version.Preset;
import io.sequoiapass.daemon.request.AttemptKeys;
import io.sequoiapass.daemon.request.Execution;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Queue and concurrency limit of one endpoint of a plain service.
 *
 * <p>Guarded by the lock of its pool.
 */
final class ServiceEndpoint {

  private static final double CALL_COST = 1;
  private static final String SINGLE_FLOW = "";

  private final ServiceId service;
  private final ConcurrencyLimit limit;
  private final AdmissionSettings ordinary;
  private final AdmissionQueue queue;
  private final Map<RequestId, AdmissionTicket> waiting = new HashMap<>();
  private InetSocketAddress address;
  private int running;
  private boolean leaving;

  ServiceEndpoint(
      ServiceId service,
      InetSocketAddress address,
      int maxCalls,
      AdmissionSettings ordinary,
      long nowMs) {
    this.service = service;
    this.address = address;
    this.limit = new ConcurrencyLimit(maxCalls);
    this.ordinary = ordinary;
    this.queue = new AdmissionQueue(ordinary, nowMs);
  }

  /** Applies a change of the configuration. */
  void configure(InetSocketAddress newAddress, int maxCalls) {
    address = newAddress;
    limit.bound(maxCalls);
  }

  void apply(Preset preset) {
    queue.apply(ordinary.mapBounds(preset::queueBound));
  }

  /** Sets whether the endpoint is leaving; nothing new starts on it then. */
  void setLeaving(boolean leave) {
    leaving = leave;
  }

  boolean isLeaving() {
    return leaving;
  }

  InetSocketAddress address() {
    return address;
  }

  boolean hasCapacity() {
    return running < limit.calls();
  }

  /** Enqueues an attempt; returns the attempt that is refused for it, if any. */
  Optional<AdmissionQueue.Refusal> offer(Execution execution, long nowMs) {
    AdmissionTicket ticket =
        new AdmissionTicket(
            AttemptKeys.of(execution.id()),
            service,
            SINGLE_FLOW,
            execution.forward().work().priority(),
            nowMs + execution.remainingMs(nowMs),
            CALL_COST);
    waiting.put(ticket.request(), ticket);
    Optional<AdmissionQueue.Refusal> refused = queue.offer(ticket, nowMs);
    refused.ifPresent(refusal -> waiting.remove(refusal.ticket().request()));
    return refused;
  }

  /** Returns whether a waiting attempt may start. */
  boolean canStart() {
    return queue.size() > 0 && hasCapacity() && !leaving;
  }

  /** Dequeues the next attempt, and those that are too late. */
  AdmissionQueue.PollResult next(long nowMs) {
    AdmissionQueue.PollResult turn = queue.poll(nowMs);
    turn.refused().forEach(refusal -> waiting.remove(refusal.ticket().request()));
    turn.next().ifPresent(ticket -> waiting.remove(ticket.request()));
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
    AdmissionTicket ticket = waiting.remove(id);
    return ticket != null && queue.withdraw(ticket);
  }

  /** Records the start of a call. */
  void callStarted() {
    running++;
  }

  /** Records the end of a call; its capacity is free. */
  void callEnded() {
    running = Math.max(0, running - 1);
  }

  /** Records that the endpoint answered a call, whose capacity is still in use. */
  void callAnswered(long tookMs) {
    queue.finished(CALL_COST, tookMs);
    limit.answered(running);
  }

  /** Records that the endpoint refused a call for lack of capacity. */
  void callRefused(long nowMs) {
    limit.refused(nowMs);
  }

  /** Returns how many attempts wait here. */
  int size() {
    return queue.size();
  }
}
