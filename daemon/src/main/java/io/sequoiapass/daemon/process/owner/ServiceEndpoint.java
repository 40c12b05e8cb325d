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
 * Holds the calls that wait for one endpoint of a plain service, and how many it runs.
 *
 * <p>Guarded by the lock of its pool.
 */
final class ServiceEndpoint {

  private static final double ONE_CALL = 1;
  private static final String ONE_FLOW = "";

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

  /** Takes what the configuration says of it now. */
  void configure(InetSocketAddress newAddress, int maxCalls) {
    address = newAddress;
    limit.bound(maxCalls);
  }

  void apply(Preset preset) {
    queue.apply(ordinary.bounded(preset::queueBound));
  }

  /** Notes whether it leaves, and so begins nothing new. */
  void leave(boolean leaves) {
    leaving = leaves;
  }

  boolean isLeaving() {
    return leaving;
  }

  InetSocketAddress address() {
    return address;
  }

  boolean hasPlace() {
    return running < limit.calls();
  }

  /** Takes an attempt in; returns the one that is refused for it, if one is. */
  Optional<AdmissionQueue.Refusal> offer(Execution execution, long nowMs) {
    AdmissionTicket ticket =
        new AdmissionTicket(
            AttemptKeys.of(execution.id()),
            service,
            ONE_FLOW,
            execution.forward().work().priority(),
            nowMs + execution.remainingMs(nowMs),
            ONE_CALL);
    waiting.put(ticket.request(), ticket);
    Optional<AdmissionQueue.Refusal> refused = queue.offer(ticket, nowMs);
    refused.ifPresent(refusal -> waiting.remove(refusal.ticket().request()));
    return refused;
  }

  /** Returns whether one that waits may be begun. */
  boolean hasTurn() {
    return queue.size() > 0 && hasPlace() && !leaving;
  }

  /** Takes out the attempt whose turn it is, and those that are too late by now. */
  AdmissionQueue.Turn next(long nowMs) {
    AdmissionQueue.Turn turn = queue.poll(nowMs);
    turn.refused().forEach(refusal -> waiting.remove(refusal.ticket().request()));
    turn.next().ifPresent(ticket -> waiting.remove(ticket.request()));
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
    AdmissionTicket ticket = waiting.remove(id);
    return ticket != null && queue.withdraw(ticket);
  }

  /** Notes that a place is taken. */
  void begun() {
    running++;
  }

  /** Notes that a place is free again. */
  void ended() {
    running = Math.max(0, running - 1);
  }

  /** Notes that the endpoint answered a call, whose place is still taken. */
  void answered(long tookMs) {
    queue.finished(ONE_CALL, tookMs);
    limit.answered(running);
  }

  /** Notes that the endpoint refused a call for lack of room. */
  void refused(long nowMs) {
    limit.refused(nowMs);
  }

  /** Returns how many attempts wait here. */
  int size() {
    return queue.size();
  }
}
