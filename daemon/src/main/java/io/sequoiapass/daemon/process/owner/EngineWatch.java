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
 * Knows what one engine last told of itself, and when to ask again.
 *
 * <p>Guarded by the lock of its shard.
 */
final class EngineWatch {

  /** Between two looks at an engine that is well: a restart shows within this time. */
  private static final long LOOK_EVERY_MS = 1_000;

  /** Between two looks at an engine that did not answer, or where others' streams still run. */
  private static final long LOOK_SOON_MS = 200;

  /** Tells what an engine's state says that was not known. */
  enum News {
    /** It is usable from now on. */
    JOINED,
    /** It was started anew: what it held is gone. */
    RESTARTED,
    /** It is the one known. */
    SAME
  }

  private final OwnedEndpoint endpoint;
  private final Set<RequestId> foreign = new HashSet<>();
  private String boot;
  private boolean usable;
  private boolean failed;
  private boolean asking;
  private boolean leaving;
  private boolean paused;
  private long nextLookAt = Long.MIN_VALUE;
  private EngineState state;
  private int ordersUnderWay;
  private long ordersBegun;
  private long begunBeforeLook;

  EngineWatch(OwnedEndpoint endpoint) {
    this.endpoint = endpoint;
  }

  OwnedEndpoint endpoint() {
    return endpoint;
  }

  /** Notes whether a handover is under way; returns whether that is news. */
  boolean pause(boolean pause) {
    boolean news = paused != pause;
    paused = pause;
    usable &= !pause;
    return news;
  }

  /** Notes whether it leaves, so that it joins anew once it is back; returns whether it is news. */
  boolean leave(boolean leaves) {
    boolean news = leaving != leaves;
    leaving = leaves;
    usable &= leaves || !news;
    return news;
  }

  boolean isLeaving() {
    return leaving;
  }

  /**
   * Returns whether requests are held: a handover is under way, or the engine was just taken over
   * and has not told what it holds. Refusing them would fail every request of the first round trip
   * after each change of owner; either state ends within a few milliseconds or by a failed look.
   */
  boolean holdsRequests() {
    return paused || (boot == null && !failed);
  }

  boolean isPaused() {
    return paused;
  }

  /** Notes that an answer came that nobody can use any more. */
  void answeredUnused() {
    asking = false;
  }

  boolean due(long now) {
    return !asking && now >= nextLookAt;
  }

  void asked() {
    asking = true;
    begunBeforeLook = ordersBegun - ordersUnderWay;
  }

  /** Notes that an order to load, and perhaps to evict before, is given. */
  void orderBegun() {
    ordersUnderWay++;
    ordersBegun++;
  }

  /** Notes that an order has ended, in whatever way. */
  void orderEnded() {
    ordersUnderWay--;
  }

  /** Returns whether no order was under way from the look until now, so that its state is exact. */
  boolean isSettled() {
    return ordersBegun == begunBeforeLook;
  }

  void lookNow() {
    nextLookAt = Long.MIN_VALUE;
  }

  /** Notes that it did not answer; returns whether it was usable until now. */
  boolean unreachable(long now) {
    asking = false;
    nextLookAt = now + LOOK_SOON_MS;
    boolean was = usable;
    usable = false;
    failed = true;
    return was;
  }

  News told(long now, EngineState told) {
    asking = false;
    state = told;
    News news = News.SAME;
    if (boot != null && !boot.equals(told.boot())) {
      news = News.RESTARTED;
    } else if (!usable) {
      news = News.JOINED;
    }
    if (news != News.SAME) {
      foreign.clear();
      told.running().forEach(run -> foreign.add(AttemptKeys.of(run.requestId(), run.attempt())));
    }
    boot = told.boot();
    usable = true;
    failed = false;
    nextLookAt = now + (foreign.isEmpty() ? LOOK_EVERY_MS : LOOK_SOON_MS);
    return news;
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
    // An engine may hold more than the configuration says while that is being changed; refusing its
    // word would leave it without work until somebody notices.
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
   * Returns the runs that a former owner started and that have ended since, so that their places
   * are free.
   *
   * @param told what runs now
   * @param own the attempts of this daemon, whose ends it hears itself
   */
  List<RequestId> foreignGone(EngineState told, Set<RequestId> own) {
    Set<RequestId> gone = new HashSet<>(foreign);
    told.running().forEach(run -> gone.remove(AttemptKeys.of(run.requestId(), run.attempt())));
    foreign.removeAll(gone);
    gone.removeAll(own);
    return List.copyOf(gone);
  }
}
