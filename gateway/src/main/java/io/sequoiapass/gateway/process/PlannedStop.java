package io.sequoiapass.gateway.process;

import io.sequoiapass.gateway.request.StoppableRequest;
import io.sequoiapass.gateway.version.RouteSpec;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The planned stop of the process: which requests it still accepts and sends, and the end of those
 * that are open when it ends.
 *
 * <p>A request may wait for most of the stop after it was accepted. One that is not expected to end
 * in time is not sent any more, but rejected while its caller has time to use another daemon.
 *
 * <p>The load it answers: callers that keep sending while a daemon stops, with calls of some
 * milliseconds beside streams that take most of the grace period.
 *
 * <p>Safe for use by several threads.
 */
public final class PlannedStop {

  private final Set<StoppableRequest> open = ConcurrentHashMap.newKeySet();
  private final Map<String, DurationEstimator> durations = new ConcurrentHashMap<>();
  private volatile DrainSchedule schedule = DrainSchedule.NEVER;

  /** Adds a request that the stop may have to end. */
  public void opened(StoppableRequest request) {
    open.add(request);
  }

  /** Removes a request that has ended. */
  public void ended(StoppableRequest request) {
    open.remove(request);
  }

  /**
   * Records how long an endpoint took for a request.
   *
   * @param route the request's route
   * @param tookMs the time from the sending to the end of the answer, in milliseconds
   */
  public void answered(RouteSpec route, long tookMs) {
    durations.computeIfAbsent(route.name(), name -> new DurationEstimator()).add(tookMs);
  }

  /**
   * Returns whether a request is accepted. A call has an answer at the end of the stop in any case;
   * a stream that is broken off then has none.
   */
  boolean accepts(RouteSpec route, long now) {
    return accepts(route.streams() ? route.timeoutMs() : durationMs(route), now);
  }

  /** Returns whether a request that takes a time, in milliseconds, is accepted. */
  boolean accepts(long durationMs, long now) {
    return schedule.accepts(durationMs, now);
  }

  /**
   * Returns whether a request is expected to end before the process if it is sent.
   *
   * @param route the request's route
   * @param sentAt when it would be sent, in milliseconds
   */
  public boolean allowsSend(RouteSpec route, long sentAt) {
    return schedule.endsInTime(durationMs(route), sentAt);
  }

  private long durationMs(RouteSpec route) {
    DurationEstimator known = durations.get(route.name());
    return Math.min(route.timeoutMs(), known == null ? route.targetMs() : known.mostMs());
  }

  /** Returns whether the stop has started. */
  public boolean isStarted() {
    return schedule.endsAt() != DrainSchedule.NEVER.endsAt();
  }

  /** Starts the stop, and rejects requests whose wait does not end in time. */
  void start(DrainSchedule next) {
    schedule = next;
    List.copyOf(open).forEach(StoppableRequest::dispatchIfWaiting);
  }

  /** Rejects the waiting requests for which there is not enough time any more. */
  void rejectLate() {
    open.forEach(StoppableRequest::rejectIfLate);
  }

  /** Ends all requests that are open, each with a complete answer unless its stream has begun. */
  void end() {
    schedule = DrainSchedule.OVER;
    List.copyOf(open).forEach(StoppableRequest::endForStop);
  }
}
