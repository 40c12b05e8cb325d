package io.sequoiapass.daemon.process.owner;

import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.coordination.VersionId;
import io.sequoiapass.daemon.connection.engine.EngineState;
import io.sequoiapass.daemon.process.placement.EndpointStatus;
import io.sequoiapass.daemon.process.placement.LoadHandle;
import io.sequoiapass.daemon.process.placement.Resident;
import io.sequoiapass.daemon.request.AttemptKeys;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Last reported state of one engine, and when to poll it again.
 *
 * <p>Guarded by the lock of its shard.
 */
final class EngineMonitor {

  /** Poll interval of a healthy engine: a restart is detected within this time. */
  private static final long POLL_INTERVAL_MS = 1_000;

  /**
   * Poll interval of an engine that did not answer, or on which streams of other owners still run.
   */
  private static final long SHORT_POLL_INTERVAL_MS = 200;

  /** Change of an engine since its last poll. */
  enum StateChange {
    /** It has become usable. */
    JOINED,
    /** It has restarted and lost what it held. */
    RESTARTED,
    /** It is the same engine process. */
    SAME
  }

  private final OwnedEndpoint endpoint;
  private final Set<RequestId> foreignRuns = new HashSet<>();
  private String boot;
  private boolean usable;
  private boolean failed;
  private boolean polling;
  private boolean leaving;
  private boolean paused;
  private long nextPollMs = Long.MIN_VALUE;
  private EngineState state;
  private int ordersInProgress;
  private long ordersStarted;
  private long ordersEndedBeforePoll;

  EngineMonitor(OwnedEndpoint endpoint) {
    this.endpoint = endpoint;
  }

  OwnedEndpoint endpoint() {
    return endpoint;
  }

  /** Sets whether a handover is in progress; returns whether that changed. */
  boolean setPaused(boolean pause) {
    boolean changed = paused != pause;
    paused = pause;
    usable &= !pause;
    return changed;
  }

  /**
   * Sets whether the endpoint is leaving, so that it joins again when it stops leaving; returns
   * whether that changed.
   */
  boolean setLeaving(boolean leave) {
    boolean changed = leaving != leave;
    leaving = leave;
    usable &= leave || !changed;
    return changed;
  }

  boolean isLeaving() {
    return leaving;
  }

  /**
   * Returns whether requests are held: a handover is in progress, or the engine was just taken over
   * and has not reported what it holds. Refusing them would fail every request of the first round
   * trip after each change of owner; either state ends within a few milliseconds or with a failed
   * poll.
   */
  boolean holdsRequests() {
    return paused || (boot == null && !failed);
  }

  boolean isPaused() {
    return paused;
  }

  /** Ends a poll whose result is not used. */
  void discardPoll() {
    polling = false;
  }

  boolean isPollDue(long now) {
    return !polling && now >= nextPollMs;
  }

  void pollStarted() {
    polling = true;
    ordersEndedBeforePoll = ordersStarted - ordersInProgress;
  }

  /** Records the start of an order to load, perhaps after an eviction. */
  void orderStarted() {
    ordersInProgress++;
    ordersStarted++;
  }

  /** Records the end of an order, whatever its outcome. */
  void orderEnded() {
    ordersInProgress--;
  }

  /**
   * Returns whether no order was in progress since the start of the poll, so that the polled state
   * is exact.
   */
  boolean noOrdersDuringPoll() {
    return ordersStarted == ordersEndedBeforePoll;
  }

  void schedulePoll() {
    nextPollMs = Long.MIN_VALUE;
  }

  /** Records that the engine did not answer; returns whether it was usable before. */
  boolean pollFailed(long now) {
    polling = false;
    nextPollMs = now + SHORT_POLL_INTERVAL_MS;
    boolean wasUsable = usable;
    usable = false;
    failed = true;
    return wasUsable;
  }

  StateChange pollSucceeded(long now, EngineState reported) {
    polling = false;
    state = reported;
    StateChange change = StateChange.SAME;
    if (boot != null && !boot.equals(reported.boot())) {
      change = StateChange.RESTARTED;
    } else if (!usable) {
      change = StateChange.JOINED;
    }
    if (change != StateChange.SAME) {
      foreignRuns.clear();
      reported
          .running()
          .forEach(run -> foreignRuns.add(AttemptKeys.of(run.requestId(), run.attempt())));
    }
    boot = reported.boot();
    usable = true;
    failed = false;
    nextPollMs = now + (foreignRuns.isEmpty() ? POLL_INTERVAL_MS : SHORT_POLL_INTERVAL_MS);
    return change;
  }

  /** Returns what the engine holds, for the placement. */
  EndpointStatus status() {
    List<Resident> residents = new ArrayList<>();
    List<AdapterVersion> loading = new ArrayList<>();
    for (EngineState.Slot slot : state.slots()) {
      AdapterVersion adapter =
          new AdapterVersion(new AdapterId(slot.adapter()), new VersionId(slot.version()));
      if (slot.ready()) {
        residents.add(new Resident(new LoadHandle(slot.handle()), adapter, runningOn(slot)));
      } else {
        loading.add(adapter);
      }
    }
    // An engine may hold more than the configuration allows while that is being changed. Rejecting
    // its report would leave it without work until an operator intervened.
    int slots = Math.max(endpoint.slots(), residents.size() + loading.size());
    return new EndpointStatus(
        endpoint.id(), endpoint.model(), slots, endpoint.maxStreams(), residents, loading);
  }

  private List<RequestId> runningOn(EngineState.Slot slot) {
    return state.running().stream()
        .filter(run -> run.isOn(slot))
        .map(run -> AttemptKeys.of(run.requestId(), run.attempt()))
        .toList();
  }

  /**
   * Removes and returns the runs of former owners that have ended, so that their stream capacity is
   * free.
   *
   * @param reported the current state of the engine
   * @param own the attempts of this daemon, whose ends are reported to it directly
   */
  List<RequestId> removeEndedForeignRuns(EngineState reported, Set<RequestId> own) {
    Set<RequestId> ended = new HashSet<>(foreignRuns);
    reported.running().forEach(run -> ended.remove(AttemptKeys.of(run.requestId(), run.attempt())));
    foreignRuns.removeAll(ended);
    ended.removeAll(own);
    return List.copyOf(ended);
  }
}
