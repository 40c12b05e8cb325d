package io.sequoiapass.testbed.policy;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.daemon.process.placement.LoadHandle;
import io.sequoiapass.daemon.process.placement.LoadResult;
import io.sequoiapass.daemon.process.placement.Placement;
import io.sequoiapass.daemon.process.placement.PlacementAction;
import io.sequoiapass.daemon.process.placement.PlacementRequest;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Discrete-event simulation, in virtual time, of one workload under one policy. Throws an exception
 * if the policy violates a constraint of an engine.
 */
final class Simulation {

  private static final double TICK_INTERVAL_MS = 25;
  private static final double HANG_MS = 30_000;

  /** Simulated time after the last arrival, so that the last requests can complete. */
  private static final double DRAIN_MS = 90_000;

  /** A request that has arrived and not ended. */
  private static final class PendingRequest {
    final Workload.Arrival arrival;
    double queuedMs;
    int tokensLeft;
    boolean started;

    PendingRequest(Workload.Arrival arrival, double queuedMs, int tokensLeft) {
      this.arrival = arrival;
      this.queuedMs = queuedMs;
      this.tokensLeft = tokensLeft;
    }
  }

  private record Event(double atMs, long order, Runnable action) {}

  private final SimulationConfig config;
  private final Scenario scenario;
  private final Policy policy;
  private final Score score;
  private final Random faults;
  private final List<Engine> engines = new ArrayList<>();
  private final Map<EndpointId, Engine> byId = new HashMap<>();
  private final Map<RequestId, PendingRequest> requests = new HashMap<>();
  private final Set<AdapterVersion> held = new HashSet<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::order));
  private final WeightStore store = new WeightStore();
  private double now;
  private long order;

  Simulation(SimulationConfig config, Scenario scenario, long seed, Policy policy) {
    this.config = config;
    this.scenario = scenario;
    this.policy = policy;
    this.score = new Score(config);
    this.faults = new Random(~seed);
    for (int i = 0; i < config.engines(); i++) {
      boolean main = i < config.runners();
      EndpointId id = new EndpointId((main ? "main-" : "second-") + i);
      Engine engine =
          new Engine(id, main ? Workload.MAIN : Workload.SECOND, config.ownerOf(i), config);
      engines.add(engine);
      byId.put(id, engine);
    }
  }

  Score run(List<Workload.Arrival> arrivals) {
    for (Engine engine : engines) {
      apply(owner(engine).endpointJoined(0, engine.emptyStatus()));
    }
    for (Workload.Arrival arrival : arrivals) {
      schedule(arrival.atMs(), () -> arrive(new PendingRequest(arrival, now, arrival.tokens())));
    }
    for (int i = 0; i < config.owners(); i++) {
      Placement placement = policy.placement(i);
      schedule(TICK_INTERVAL_MS * (i + 1) / config.owners(), () -> tick(placement));
    }
    if (scenario == Scenario.COLD_HALF) {
      schedule(config.measurementMidpointMs(), this::restartHalf);
    }
    while (now < config.endMs() + DRAIN_MS) {
      processNextEvent();
    }
    score.engines(engines);
    return score;
  }

  private void processNextEvent() {
    double storeMs = store.idle() ? Double.POSITIVE_INFINITY : store.nextEndMs();
    if (storeMs <= events.peek().atMs()) {
      now = storeMs;
      WeightStore.Transfer ended = store.takeEnded(now);
      loadEnded(ended.engine, ended.slot, faults.nextDouble() >= scenario.loadFailureProbability());
    } else {
      Event event = events.remove();
      now = event.atMs();
      event.action().run();
    }
  }

  private void schedule(double atMs, Runnable action) {
    events.add(new Event(atMs, order++, action));
  }

  private long millis() {
    return (long) now;
  }

  private Placement owner(Engine engine) {
    return policy.placement(engine.owner);
  }

  private void tick(Placement placement) {
    policy.tick(millis());
    apply(placement.tick(millis()));
    schedule(now + TICK_INTERVAL_MS, () -> tick(placement));
  }

  private void arrive(PendingRequest request) {
    Workload.Arrival arrival = request.arrival;
    Engine preferred = byId.get(policy.route(now, arrival, engines));
    RequestId id = new RequestId(Integer.toString(arrival.index()));
    requests.put(id, request);
    Placement placement = owner(preferred);
    schedule((double) arrival.deadlineMs(), () -> withdraw(placement, id, request));
    apply(
        placement.requestArrived(
            millis(),
            new PlacementRequest(
                id,
                arrival.adapter(),
                arrival.model(),
                arrival.urgency(),
                arrival.deadlineMs(),
                arrival.tokens(),
                preferred.id)));
  }

  private void withdraw(Placement placement, RequestId id, PendingRequest request) {
    if (requests.get(id) == request && !request.started) {
      requests.remove(id);
      score.lost(request.arrival);
      apply(placement.requestWithdrawn(millis(), id));
    }
  }

  private void apply(List<PlacementAction> actions) {
    for (PlacementAction action : actions) {
      if (action instanceof PlacementAction.Start start) {
        start(start);
      } else if (action instanceof PlacementAction.Load load) {
        load(load);
      } else if (action instanceof PlacementAction.Refuse refuse) {
        score.lost(requests.remove(refuse.request()).arrival);
      }
    }
  }

  private void start(PlacementAction.Start start) {
    Engine engine = byId.get(start.endpoint());
    PendingRequest request = requests.get(start.request());
    if (request.started) {
      throw new IllegalStateException("request started twice: " + start);
    }
    request.started = true;
    engine.start(request.arrival, start.handle(), request.tokensLeft);
    score.started(request.arrival, engine.slot(start.handle()), request.queuedMs, now);
    beginStep(engine);
  }

  private void load(PlacementAction.Load load) {
    Engine engine = byId.get(load.endpoint());
    load.evict().ifPresent(engine::evict);
    LoadCause cause = causeOf(load.adapter());
    score.load(now, cause, load.evict().isPresent());
    Engine.Slot slot = engine.load(load.adapter(), new LoadHandle("h" + order++), cause, now);
    if (faults.nextDouble() < scenario.loadHangProbability()) {
      schedule(now + HANG_MS, () -> loadEnded(engine, slot, false));
    } else {
      store.add(now, new WeightStore.Transfer(engine, slot));
    }
  }

  private LoadCause causeOf(AdapterVersion adapter) {
    if (engines.stream().anyMatch(engine -> engine.holds(adapter))) {
      return LoadCause.ELSEWHERE;
    }
    return held.contains(adapter) ? LoadCause.AGAIN : LoadCause.FIRST;
  }

  private void loadEnded(Engine engine, Engine.Slot slot, boolean success) {
    if (!engine.slots.contains(slot)) {
      return;
    }
    if (success) {
      slot.readyMs = now;
      held.add(slot.adapter);
    } else {
      engine.slots.remove(slot);
    }
    Optional<LoadHandle> handle = success ? Optional.of(slot.handle) : Optional.empty();
    apply(owner(engine).loadFinished(millis(), new LoadResult(engine.id, slot.adapter, handle)));
  }

  private void beginStep(Engine engine) {
    if (engine.stepping() || engine.streams.isEmpty()) {
      return;
    }
    double length = engine.beginStep();
    int boot = engine.boot;
    schedule(now + length, () -> endStep(engine, boot, length));
  }

  private void endStep(Engine engine, int boot, double length) {
    if (engine.boot != boot) {
      return;
    }
    boolean measured = now >= config.warmUpMs() && now < config.endMs();
    for (Engine.Stream stream : engine.endStep(length, measured)) {
      RequestId id = new RequestId(Integer.toString(stream.arrival.index()));
      requests.remove(id);
      score.answered(stream.arrival);
      apply(owner(engine).requestFinished(millis(), id));
    }
    beginStep(engine);
  }

  private void restartHalf() {
    for (int i = 0; i < engines.size(); i += 2) {
      Engine engine = engines.get(i);
      store.cancel(now, engine);
      List<Engine.Stream> lost = engine.restart();
      apply(owner(engine).endpointJoined(millis(), engine.emptyStatus()));
      for (Engine.Stream stream : lost) {
        arrive(new PendingRequest(stream.arrival, now, stream.tokensLeft));
      }
    }
  }
}
