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
 * shard's lock. Messages written to a connection under the lock are only queued there, so the lock
 * is never held for input or output. Answers of engines arrive on event loops, which take the lock
 * only when an answer ends.
 */
public final class OwnerShard {

  private final ReentrantLock lock = new ReentrantLock();
  private final MillisClock clock;
  private final Placement placement;
  private final EngineClient engines;
  private final LoadOrders orders;
  private final OwnerObserver observer;
  private final Map<EndpointId, EngineMonitor> endpoints = new HashMap<>();
  private final Map<RequestId, Execution> executions = new HashMap<>();
  private final HeldRequests held = new HeldRequests();
  private final EngineAdmission admission;
  private final EngineRuns runs;

  /**
   * Creates a shard without endpoints.
   *
   * @param clock the clock of all times
   * @param placement decides what runs where
   * @param engines sends calls to engines
   * @param gate decides whether an order may still be given
   * @param observer receives events for the log and the metrics
   * @param limits bounds the queue in ordinary operation; empty to admit every attempt immediately
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
   * Takes over an endpoint. It is used once its engine has reported what it holds and runs.
   *
   * @param endpoint the endpoint
   */
  public void own(OwnedEndpoint endpoint) {
    locked(
        () -> {
          EngineMonitor monitor = endpoints.get(endpoint.id());
          if (monitor != null && monitor.endpoint().equals(endpoint)) {
            return;
          }
          if (monitor != null) {
            perform(placement.endpointLeft(clock.millis(), endpoint.id()));
          }
          endpoints.put(endpoint.id(), new EngineMonitor(endpoint));
        });
  }

  /**
   * Stops using an endpoint; running attempts continue, queued ones are returned to their entry.
   *
   * @param endpoint the endpoint
   */
  public void disown(EndpointId endpoint) {
    locked(
        () -> {
          orders.forgetFence(endpoint);
          if (endpoints.remove(endpoint) != null) {
            refuseQueued(endpoint);
            perform(placement.endpointLeft(clock.millis(), endpoint));
          }
        });
  }

  /**
   * Sends no new work to an endpoint that is leaving, and uses it again when it rejoins; running
   * attempts continue.
   *
   * @param endpoint the endpoint
   * @param leaving whether it is leaving
   */
  public void drain(EndpointId endpoint, boolean leaving) {
    locked(
        () -> {
          EngineMonitor monitor = endpoints.get(endpoint);
          if (monitor == null || !monitor.setLeaving(leaving)) {
            return;
          }
          if (leaving) {
            perform(placement.endpointDraining(clock.millis(), endpoint));
          } else {
            monitor.schedulePoll();
          }
        });
  }

  /**
   * Starts nothing new on an endpoint while its handover is in progress, and resumes it if the
   * handover is abandoned. Requests for it are held meanwhile, since the write of the ownership
   * takes milliseconds.
   *
   * @param endpoint the endpoint
   * @param paused whether to pause
   */
  public void pause(EndpointId endpoint, boolean paused) {
    locked(
        () -> {
          EngineMonitor monitor = endpoints.get(endpoint);
          if (monitor == null || !monitor.setPaused(paused)) {
            return;
          }
          if (paused) {
            queuedFor(endpoint).forEach(this::hold);
            perform(placement.endpointLeft(clock.millis(), endpoint));
          } else {
            monitor.schedulePoll();
          }
        });
  }

  private void hold(Execution execution) {
    withdraw(execution);
    held.add(execution);
  }

  private void refuseQueued(EndpointId endpoint) {
    for (Execution execution : queuedFor(endpoint)) {
      withdraw(execution);
      remove(execution);
      execution.sendRefused(ErrorKind.DRAINING, false, 0);
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
      remove(execution);
      execution.sendRefused(kind, false, 0);
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
          EngineMonitor monitor = endpoints.get(forward.endpoint());
          if (monitor == null) {
            // The ownership tables of the entry and this daemon differ briefly around each
            // handover.
            execution.sendRefused(ErrorKind.DRAINING, false, 0);
            return;
          }
          if (executions.putIfAbsent(AttemptKeys.of(forward.id()), execution) != null) {
            // Duplicate frame; the first one's attempt is in progress and will answer.
            return;
          }
          if (monitor.holdsRequests()) {
            held.add(execution);
          } else {
            begin(execution, monitor);
          }
        });
  }

  /**
   * An attempt that may only attach to an existing run must not start one, also after it was held.
   */
  private void begin(Execution execution, EngineMonitor monitor) {
    if (execution.forward().mode() == Mode.RUN) {
      enqueue(execution);
    } else {
      runs.attach(execution, monitor);
    }
  }

  private void enqueue(Execution execution) {
    if (admission.isEnabled()) {
      admission.offer(execution, clock.millis()).ifPresent(this::refuse);
    } else {
      submitToPlacement(execution);
    }
  }

  /** Passes waiting attempts to the placement while it has stream capacity. */
  private void admitWaiting() {
    while (admission.canAdmit() && placement.freeStreams() > 0) {
      AdmissionQueue.PollResult turn = admission.next(clock.millis());
      turn.refused().forEach(this::refuse);
      turn.next()
          .map(ticket -> executions.get(ticket.request()))
          .ifPresent(this::submitToPlacement);
    }
  }

  private void refuse(AdmissionQueue.Refusal refusal) {
    Execution execution = executions.get(refusal.ticket().request());
    remove(execution);
    Outcome.NotRun outcome = refusal.outcome();
    observer.overloaded(execution.id(), outcome.kind(), execution.ageMs(clock.millis()));
    execution.sendRefused(outcome.kind(), false, outcome.comeBackMillis().orElse(0));
  }

  private void submitToPlacement(Execution execution) {
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
   * Handles the entry's answer to a request for a start grant.
   *
   * @param answer the answer
   */
  public void startDecided(PeerMessage.StartAnswer answer) {
    locked(
        () -> {
          Execution execution = executions.get(AttemptKeys.of(answer.id()));
          if (execution == null || execution.stage() != Execution.Stage.AWAITING_GRANT) {
            return;
          }
          if (answer.granted()) {
            runs.write(execution, execution.assignment());
          } else {
            finish(execution);
          }
        });
  }

  /**
   * Cancels an attempt whose caller has left.
   *
   * @param id the attempt
   */
  public void cancel(AttemptId id) {
    locked(() -> Optional.ofNullable(executions.get(AttemptKeys.of(id))).ifPresent(this::cancel));
  }

  /**
   * Cancels the attempts of an entry whose connection has failed, since their callers have lost
   * their connection with it. An attempt that may run only once continues if its start was granted,
   * since a partial run is worse than a complete one.
   *
   * @param replies the connection
   */
  public void entryDisconnected(PeerChannel replies) {
    locked(
        () -> {
          for (Execution execution : List.copyOf(executions.values())) {
            boolean keepRunning =
                execution.forward().atMostOnce() && execution.stage() == Execution.Stage.RUNNING;
            if (execution.replies() == replies && !keepRunning) {
              cancel(execution);
            }
          }
        });
  }

  /**
   * Pauses or resumes reading the answer of an attempt.
   *
   * @param flow the entry's flow control message
   */
  public void flow(PeerMessage.Flow flow) {
    locked(
        () ->
            Optional.ofNullable(executions.get(AttemptKeys.of(flow.id())))
                .ifPresent(execution -> execution.pause(flow.paused())));
  }

  /**
   * Pauses or resumes reading the answers that are sent over one connection, by its writability.
   *
   * @param replies the connection
   */
  public void writabilityChanged(PeerChannel replies) {
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
        remove(execution);
      }
      case AWAITING_GRANT -> finish(execution);
      case RUNNING -> {
        admission.abandoned(execution, clock.millis());
        runs.cancel(execution);
      }
      default -> {
        // Already ended.
      }
    }
  }

  /**
   * Applies new weights to the placement.
   *
   * @param weights the new weights
   * @param prefetches whether adapters that no request waits for may be loaded
   */
  void updateWeights(PlacementWeights weights, boolean prefetches) {
    locked(() -> placement.updateWeights(weights, prefetches));
  }

  // Placement decisions.

  /** Advances the time; to be called every 10 to 50 ms. */
  public void tick() {
    locked(
        () -> {
          long now = clock.millis();
          orders.retryPending();
          refuseHeld(held.takeExpired(now), ErrorKind.DEADLINE_PASSED);
          admission.expire(now).forEach(this::refuse);
          perform(placement.tick(now));
          endpoints.values().stream().filter(m -> m.isPollDue(now)).toList().forEach(this::poll);
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
    execution.assign(start);
    admission.placed(start.request());
    if (!start.endpoint().equals(execution.forward().endpoint())) {
      execution.replies().send(new PeerMessage.Started(execution.id(), start.endpoint()));
    }
    if (execution.forward().atMostOnce()) {
      execution.markAwaitingGrant();
      execution.replies().send(new PeerMessage.MayStart(execution.id()));
    } else {
      runs.write(execution, start);
    }
  }

  private void refuse(PlacementAction.Refuse refuse) {
    Execution execution = executions.get(refuse.request());
    if (execution != null) {
      remove(execution);
      execution.sendRefused(Refusals.kindOf(refuse.reason()), false, refuse.retryAfterMs());
    }
  }

  // Orders to engines.

  private void load(PlacementAction.Load load) {
    EngineMonitor monitor = endpoints.get(load.endpoint());
    if (monitor == null) {
      loaded(load, Optional.empty());
      return;
    }
    observer.loadBegun(load.endpoint(), load.adapter(), load.evict().isPresent());
    monitor.orderStarted();
    orders.execute(
        monitor.endpoint(),
        load,
        (handle, uncertain) ->
            locked(
                () -> {
                  monitor.orderEnded();
                  loaded(load, handle);
                  if (uncertain) {
                    monitor.schedulePoll();
                  }
                }));
  }

  private void loaded(PlacementAction.Load load, Optional<LoadHandle> handle) {
    perform(
        placement.loadFinished(
            clock.millis(), new LoadResult(load.endpoint(), load.adapter(), handle)));
  }

  // Reports of engines.

  private void poll(EngineMonitor monitor) {
    monitor.pollStarted();
    orders
        .raiseFence(monitor.endpoint())
        .thenCompose(raised -> engines.state(monitor.endpoint().address()))
        .whenComplete((state, failure) -> locked(() -> stateReceived(monitor, state, failure)));
  }

  private void stateReceived(EngineMonitor monitor, EngineState state, Throwable failure) {
    if (endpoints.get(monitor.endpoint().id()) != monitor || monitor.isPaused()) {
      monitor.discardPoll();
      return;
    }
    long now = clock.millis();
    if (failure != null) {
      refuseHeld(held.takeAll(monitor.endpoint().id()), ErrorKind.NO_ENDPOINT);
      if (monitor.pollFailed(now)) {
        observer.endpointUnreachable(monitor.endpoint().id());
        perform(placement.endpointLeft(now, monitor.endpoint().id()));
      }
      return;
    }
    EngineMonitor.StateChange change = monitor.pollSucceeded(now, state);
    switch (change) {
      case JOINED, RESTARTED -> {
        observer.endpointJoined(
            monitor.endpoint().id(), change == EngineMonitor.StateChange.RESTARTED);
        perform(placement.endpointJoined(now, monitor.status()));
        if (monitor.isLeaving()) {
          // The placement treats an endpoint that joins as one that accepts work.
          perform(placement.endpointDraining(now, monitor.endpoint().id()));
        }
        held.takeAll(monitor.endpoint().id()).forEach(execution -> begin(execution, monitor));
      }
      case SAME -> {
        monitor
            .removeEndedForeignRuns(state, executions.keySet())
            .forEach(ended -> perform(placement.requestFinished(now, ended)));
        if (monitor.noOrdersDuringPoll()) {
          perform(placement.endpointReported(now, monitor.status()));
        }
      }
      default -> throw new AssertionError(change);
    }
  }

  // Ends of attempts.

  /** Returns the monitor of an endpoint, or null if the endpoint is not owned. */
  EngineMonitor monitor(EndpointId endpoint) {
    return endpoints.get(endpoint);
  }

  /** Ends an attempt whose complete answer was relayed. */
  void complete(Execution execution, AdapterVersion ranOn, int tokens) {
    admission.completed(execution, clock.millis());
    finish(execution);
    execution.sendFinished(ranOn, tokens, placement.loads());
  }

  /** Ends an attempt whose stream capacity is free. */
  void finish(Execution execution) {
    remove(execution);
    perform(placement.requestFinished(clock.millis(), AttemptKeys.of(execution.id())));
  }

  void remove(Execution execution) {
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
        admitWaiting();
      }
    } finally {
      lock.unlock();
    }
  }

  /** Returns the number of attempts that wait for admission. */
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
