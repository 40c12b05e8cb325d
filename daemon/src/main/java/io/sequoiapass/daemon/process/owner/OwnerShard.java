package io.sequoiapass.daemon.process.owner;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.coordination.request.AdmissionQueue;
import io.sequoiapass.coordination.request.AdmissionSettings;
import io.sequoiapass.coordination.request.AttemptAction.Mode;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.request.Outcome;
import io.sequoiapass.coordination.version.Preset;
import io.sequoiapass.daemon.connection.engine.EngineClient;
import io.sequoiapass.daemon.connection.engine.EngineState;
import io.sequoiapass.daemon.connection.peer.ForwardedWork.Completion;
import io.sequoiapass.daemon.connection.peer.PeerChannel;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import io.sequoiapass.daemon.connection.peer.PeerMessage.AttemptId;
import io.sequoiapass.daemon.process.placement.LoadHandle;
import io.sequoiapass.daemon.process.placement.LoadResult;
import io.sequoiapass.daemon.process.placement.Placement;
import io.sequoiapass.daemon.process.placement.PlacementAction;
import io.sequoiapass.daemon.process.placement.PlacementRequest;
import io.sequoiapass.daemon.process.placement.PlacementWeights;
import io.sequoiapass.daemon.request.AttemptKeys;
import io.sequoiapass.daemon.request.Execution;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Runs requests on the engines of one base model that this daemon owns.
 *
 * <p>One shard holds one placement and the attempts that it places; both change only under the
 * shard's lock. What is written to a connection under the lock is only queued there, so the lock is
 * never held for input or output. Answers of engines come on event loops and take the lock for
 * their end only.
 */
public final class OwnerShard {

  private final ReentrantLock lock = new ReentrantLock();
  private final MillisClock clock;
  private final Placement placement;
  private final EngineClient engines;
  private final LoadOrders orders;
  private final OwnerObserver observer;
  private final Map<EndpointId, EngineWatch> endpoints = new HashMap<>();
  private final Map<RequestId, Execution> executions = new HashMap<>();
  private final HeldRequests held = new HeldRequests();
  private final EngineAdmission admission;
  private final EngineRuns runs;

  /**
   * Makes a shard without endpoints.
   *
   * @param clock the clock of all times
   * @param placement decides what runs where
   * @param engines carries calls to engines
   * @param gate tells whether an order may still be given
   * @param observer hears what is worth a log entry or a metric
   * @param limits bounds what waits on ordinary days; empty to let everything pass
   */
  public OwnerShard(
      MillisClock clock,
      Placement placement,
      EngineClient engines,
      OrderGate gate,
      OwnerObserver observer,
      Optional<AdmissionSettings> limits) {
    this.clock = Objects.requireNonNull(clock, "clock");
    this.placement = Objects.requireNonNull(placement, "placement");
    this.engines = Objects.requireNonNull(engines, "engines");
    this.orders = new LoadOrders(clock, engines, gate, observer);
    this.observer = Objects.requireNonNull(observer, "observer");
    this.admission = new EngineAdmission(limits, clock.millis());
    this.runs = new EngineRuns(this, clock, engines, observer);
  }

  /**
   * Applies the limits of a preset.
   *
   * @param preset the preset in force
   */
  public void apply(Preset preset) {
    locked(() -> admission.apply(preset));
  }

  // Endpoints.

  /**
   * Takes over an endpoint: it is used once its engine has told what it holds and runs.
   *
   * @param endpoint the endpoint
   */
  public void own(OwnedEndpoint endpoint) {
    locked(
        () -> {
          EngineWatch watch = endpoints.get(endpoint.id());
          if (watch != null && watch.endpoint().equals(endpoint)) {
            return;
          }
          if (watch != null) {
            perform(placement.endpointLeft(clock.millis(), endpoint.id()));
          }
          endpoints.put(endpoint.id(), new EngineWatch(endpoint));
        });
  }

  /**
   * Stops using an endpoint; what runs on it goes on, what waits is given back to its entry.
   *
   * @param endpoint the endpoint
   */
  public void disown(EndpointId endpoint) {
    locked(
        () -> {
          orders.forget(endpoint);
          if (endpoints.remove(endpoint) != null) {
            giveBackQueued(endpoint);
            perform(placement.endpointLeft(clock.millis(), endpoint));
          }
        });
  }

  /**
   * Gives no new work to an endpoint that leaves, and uses it again when it is back; what runs on
   * it goes on.
   *
   * @param endpoint the endpoint
   * @param leaving whether it leaves
   */
  public void drain(EndpointId endpoint, boolean leaving) {
    locked(
        () -> {
          EngineWatch watch = endpoints.get(endpoint);
          if (watch == null || !watch.leave(leaving)) {
            return;
          }
          if (leaving) {
            perform(placement.endpointDraining(clock.millis(), endpoint));
          } else {
            watch.lookNow();
          }
        });
  }

  /**
   * Starts nothing new on an endpoint while its handover is under way, and goes on with it if the
   * handover came to nothing. Requests for it are held meanwhile: the write takes milliseconds.
   *
   * @param endpoint the endpoint
   * @param paused whether to pause
   */
  public void pause(EndpointId endpoint, boolean paused) {
    locked(
        () -> {
          EngineWatch watch = endpoints.get(endpoint);
          if (watch == null || !watch.pause(paused)) {
            return;
          }
          if (paused) {
            queuedFor(endpoint).forEach(this::hold);
            perform(placement.endpointLeft(clock.millis(), endpoint));
          } else {
            watch.lookNow();
          }
        });
  }

  private void hold(Execution execution) {
    withdraw(execution);
    held.add(execution);
  }

  private void giveBackQueued(EndpointId endpoint) {
    for (Execution execution : queuedFor(endpoint)) {
      withdraw(execution);
      over(execution);
      execution.refuse(ErrorKind.DRAINING, false, 0);
    }
  }

  private void withdraw(Execution execution) {
    RequestId id = AttemptKeys.of(execution.id());
    if (!admission.withdraw(id)) {
      perform(placement.requestWithdrawn(clock.millis(), id));
    }
  }

  private List<Execution> queuedFor(EndpointId endpoint) {
    return executions.values().stream()
        .filter(execution -> execution.stage() == Execution.Stage.QUEUED)
        .filter(execution -> execution.forward().endpoint().equals(endpoint))
        .toList();
  }

  private void refuseHeld(List<Execution> refused, ErrorKind kind) {
    for (Execution execution : refused) {
      over(execution);
      execution.refuse(kind, false, 0);
    }
  }

  // Requests.

  /**
   * Takes an attempt from an entry.
   *
   * @param forward the attempt
   * @param replies where its frames go
   */
  public void submit(PeerMessage.Forward forward, PeerChannel replies) {
    locked(
        () -> {
          Execution execution = new Execution(forward, replies, clock.millis());
          EngineWatch watch = endpoints.get(forward.endpoint());
          if (watch == null) {
            // The entry's table and this one differ, as they do for moments around each handover.
            execution.refuse(ErrorKind.DRAINING, false, 0);
            return;
          }
          if (executions.putIfAbsent(AttemptKeys.of(forward.id()), execution) != null) {
            // The same frame twice; the first is under way and will answer.
            return;
          }
          if (watch.holdsRequests()) {
            held.add(execution);
          } else {
            begin(execution, watch);
          }
        });
  }

  /** What may only be read on must not be run, also after it was held. */
  private void begin(Execution execution, EngineWatch watch) {
    if (execution.forward().mode() == Mode.RUN) {
      enqueue(execution);
    } else {
      runs.attach(execution, watch);
    }
  }

  private void enqueue(Execution execution) {
    if (admission.isOn()) {
      admission.offer(execution, clock.millis()).ifPresent(this::refuse);
    } else {
      place(execution);
    }
  }

  /** Gives the places that are free to those whose turn it is. */
  private void release() {
    while (admission.hasTurn() && placement.freePlaces() > 0) {
      AdmissionQueue.Turn turn = admission.next(clock.millis());
      turn.refused().forEach(this::refuse);
      turn.next().map(ticket -> executions.get(ticket.request())).ifPresent(this::place);
    }
  }

  private void refuse(AdmissionQueue.Refusal refusal) {
    Execution execution = executions.get(refusal.ticket().request());
    over(execution);
    Outcome.NotRun outcome = refusal.outcome();
    observer.overloaded(execution.id(), outcome.kind(), execution.agedMs(clock.millis()));
    execution.refuse(outcome.kind(), false, outcome.comeBackMillis().orElse(0));
  }

  private void place(Execution execution) {
    Completion work = execution.completion();
    long now = clock.millis();
    perform(
        placement.requestArrived(
            now,
            new PlacementRequest(
                AttemptKeys.of(execution.id()),
                work.adapter(),
                work.model(),
                Urgencies.of(work.priority()),
                now + execution.remainingMs(now),
                Math.max(1, work.maxTokens() - work.resumeFrom()),
                execution.forward().endpoint())));
  }

  /**
   * Takes the entry's answer to a question for its grant.
   *
   * @param answer the answer
   */
  public void startAnswered(PeerMessage.StartAnswer answer) {
    locked(
        () -> {
          Execution execution = executions.get(AttemptKeys.of(answer.id()));
          if (execution == null || execution.stage() != Execution.Stage.ASKING) {
            return;
          }
          if (answer.granted()) {
            runs.write(execution, execution.place());
          } else {
            finished(execution);
          }
        });
  }

  /**
   * Drops an attempt that nobody waits for any more.
   *
   * @param id the attempt
   */
  public void cancel(AttemptId id) {
    locked(() -> Optional.ofNullable(executions.get(AttemptKeys.of(id))).ifPresent(this::cancel));
  }

  /**
   * Drops the attempts of an entry whose connection is gone: their callers are gone with it. Work
   * that may run only once goes on if it was granted, since half of it is worse than all of it.
   *
   * @param replies the connection
   */
  public void entryLost(PeerChannel replies) {
    locked(
        () -> {
          for (Execution execution : List.copyOf(executions.values())) {
            boolean keeps =
                execution.forward().atMostOnce() && execution.stage() == Execution.Stage.RUNNING;
            if (execution.replies() == replies && !keeps) {
              cancel(execution);
            }
          }
        });
  }

  /**
   * Stops or goes on reading the answer of an attempt.
   *
   * @param flow what the entry asks
   */
  public void flow(PeerMessage.Flow flow) {
    locked(
        () ->
            Optional.ofNullable(executions.get(AttemptKeys.of(flow.id())))
                .ifPresent(execution -> execution.pause(flow.paused())));
  }

  /**
   * Stops or goes on reading the answers that go out over one connection.
   *
   * @param replies the connection
   */
  public void flowOf(PeerChannel replies) {
    boolean paused = !replies.writable();
    locked(
        () ->
            executions.values().stream()
                .filter(execution -> execution.replies() == replies)
                .forEach(execution -> execution.pause(paused)));
  }

  private void cancel(Execution execution) {
    switch (execution.stage()) {
      case QUEUED -> {
        withdraw(execution);
        over(execution);
      }
      case ASKING -> finished(execution);
      case RUNNING -> {
        admission.abandoned(execution, clock.millis());
        runs.cancel(execution);
      }
      default -> {
        // Over already.
      }
    }
  }

  /**
   * Changes what the placement weighs.
   *
   * @param weights what counts more
   * @param prefetches whether adapters that nobody waits for may be loaded
   */
  void weigh(PlacementWeights weights, boolean prefetches) {
    locked(() -> placement.weigh(weights, prefetches));
  }

  // What the placement decides.

  /** Lets time pass; to be called every 10 to 50 ms. */
  public void tick() {
    locked(
        () -> {
          long now = clock.millis();
          orders.tick();
          refuseHeld(held.takeLate(now), ErrorKind.DEADLINE_PASSED);
          admission.expire(now).forEach(this::refuse);
          perform(placement.tick(now));
          endpoints.values().stream().filter(w -> w.due(now)).toList().forEach(this::look);
        });
  }

  private void perform(List<PlacementAction> actions) {
    for (PlacementAction action : actions) {
      if (action instanceof PlacementAction.Start start) {
        start(start);
      } else if (action instanceof PlacementAction.Load load) {
        load(load);
      } else if (action instanceof PlacementAction.Refuse refuse) {
        refuse(refuse);
      }
    }
  }

  private void start(PlacementAction.Start start) {
    Execution execution = executions.get(start.request());
    if (execution == null) {
      perform(placement.requestFinished(clock.millis(), start.request()));
      return;
    }
    execution.place(start);
    admission.placed(start.request());
    if (!start.endpoint().equals(execution.forward().endpoint())) {
      execution.replies().send(new PeerMessage.Started(execution.id(), start.endpoint()));
    }
    if (execution.forward().atMostOnce()) {
      execution.asking();
      execution.replies().send(new PeerMessage.MayStart(execution.id()));
    } else {
      runs.write(execution, start);
    }
  }

  private void refuse(PlacementAction.Refuse refuse) {
    Execution execution = executions.get(refuse.request());
    if (execution != null) {
      over(execution);
      execution.refuse(Refusals.kindOf(refuse.reason()), false, refuse.comeBackMs());
    }
  }

  // Orders to engines.

  private void load(PlacementAction.Load load) {
    EngineWatch watch = endpoints.get(load.endpoint());
    if (watch == null) {
      loaded(load, Optional.empty());
      return;
    }
    observer.loadBegun(load.endpoint(), load.adapter(), load.evict().isPresent());
    watch.orderBegun();
    orders.carry(
        watch.endpoint(),
        load,
        (handle, suspect) ->
            locked(
                () -> {
                  watch.orderEnded();
                  loaded(load, handle);
                  if (suspect) {
                    watch.lookNow();
                  }
                }));
  }

  private void loaded(PlacementAction.Load load, Optional<LoadHandle> handle) {
    perform(
        placement.loadFinished(
            clock.millis(), new LoadResult(load.endpoint(), load.adapter(), handle)));
  }

  // What engines tell of themselves.

  private void look(EngineWatch watch) {
    watch.asked();
    orders
        .raise(watch.endpoint())
        .thenCompose(raised -> engines.state(watch.endpoint().address()))
        .whenComplete((state, failure) -> locked(() -> told(watch, state, failure)));
  }

  private void told(EngineWatch watch, EngineState state, Throwable failure) {
    if (endpoints.get(watch.endpoint().id()) != watch || watch.isPaused()) {
      watch.answeredUnused();
      return;
    }
    long now = clock.millis();
    if (failure != null) {
      refuseHeld(held.takeAll(watch.endpoint().id()), ErrorKind.NO_ENDPOINT);
      if (watch.unreachable(now)) {
        observer.endpointUnreachable(watch.endpoint().id());
        perform(placement.endpointLeft(now, watch.endpoint().id()));
      }
      return;
    }
    EngineWatch.News news = watch.told(now, state);
    switch (news) {
      case JOINED, RESTARTED -> {
        observer.endpointJoined(watch.endpoint().id(), news == EngineWatch.News.RESTARTED);
        perform(placement.endpointJoined(now, watch.status()));
        if (watch.isLeaving()) {
          // The placement takes an endpoint that joins for one that takes work.
          perform(placement.endpointDraining(now, watch.endpoint().id()));
        }
        held.takeAll(watch.endpoint().id()).forEach(waited -> begin(waited, watch));
      }
      case SAME -> {
        watch
            .foreignGone(state, executions.keySet())
            .forEach(gone -> perform(placement.requestFinished(now, gone)));
        if (watch.isSettled()) {
          perform(placement.endpointSeen(now, watch.status()));
        }
      }
      default -> throw new AssertionError(news);
    }
  }

  // Ends.

  /** Returns what is known of an endpoint, or null if it is not owned. */
  EngineWatch watch(EndpointId endpoint) {
    return endpoints.get(endpoint);
  }

  /** Ends an attempt whose whole answer was handed on. */
  void whole(Execution execution, AdapterVersion ranOn, int tokens) {
    admission.served(execution, clock.millis());
    finished(execution);
    execution.whole(ranOn, tokens, placement.loads());
  }

  /** Ends an attempt whose place on an endpoint is free again. */
  void finished(Execution execution) {
    over(execution);
    perform(placement.requestFinished(clock.millis(), AttemptKeys.of(execution.id())));
  }

  void over(Execution execution) {
    execution.end();
    held.remove(execution);
    admission.withdraw(AttemptKeys.of(execution.id()));
    executions.remove(AttemptKeys.of(execution.id()), execution);
  }

  void locked(Runnable action) {
    lock.lock();
    try {
      action.run();
      if (lock.getHoldCount() == 1) {
        release();
      }
    } finally {
      lock.unlock();
    }
  }

  /** Returns the number of attempts that wait for their turn. */
  public int waiting() {
    lock.lock();
    try {
      return admission.size();
    } finally {
      lock.unlock();
    }
  }

  /** Returns the number of attempts that have not ended. */
  public int size() {
    lock.lock();
    try {
      return executions.size();
    } finally {
      lock.unlock();
    }
  }
}
