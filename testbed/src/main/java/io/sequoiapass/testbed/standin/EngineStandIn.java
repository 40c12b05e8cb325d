package io.sequoiapass.testbed.standin;

import io.netty.channel.EventLoop;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.daemon.connection.HttpClient;
import io.sequoiapass.daemon.connection.HttpRequestMessage;
import io.sequoiapass.daemon.connection.HttpResponder;
import io.sequoiapass.testbed.standin.EngineMessages.Completion;
import io.sequoiapass.testbed.standin.EngineMessages.KvBlob;
import io.sequoiapass.testbed.standin.EngineMessages.KvName;
import io.sequoiapass.testbed.standin.EngineMessages.LoadReport;
import io.sequoiapass.testbed.standin.EngineMessages.Loaded;
import io.sequoiapass.testbed.standin.EngineMessages.Order;
import io.sequoiapass.testbed.standin.EngineMessages.RunningView;
import io.sequoiapass.testbed.standin.EngineMessages.SlotView;
import io.sequoiapass.testbed.standin.EngineMessages.StaleFence;
import io.sequoiapass.testbed.standin.EngineMessages.State;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

/**
 * Stand-in for a model engine with adapter slots, continuous batching and resumable streams.
 *
 * <p>An order to evict a serving adapter is executed: its streams are killed and a violation is
 * counted. The daemons must never send such an order, so the engine records it instead of refusing.
 */
final class EngineStandIn extends AuditedHandler {

  private static final String STREAMS = "/v1/streams/";
  private static final long WEIGHTS_TIMEOUT_MS = 120_000;

  private final EngineSettings settings;
  private final EventLoop loop;
  private final MillisClock clock;
  private final HttpClient client;
  private final Random random;
  private final EngineAudit audit = new EngineAudit();
  private final EngineBatch batch;
  private final PrefixCache prefixes;
  private final List<EngineSlot> slots = new ArrayList<>();
  private final List<PendingLoad> pending = new ArrayList<>();
  private final Set<String> importedKv = new HashSet<>();
  private Faults faults = new Faults(0, false, false, 0, 0, false, false);
  private LoadReport report;
  private String boot;
  private long fence;
  private String role = "";
  private long handles;

  EngineStandIn(EngineSettings settings, EventLoop loop, MillisClock clock) {
    this.settings = settings;
    this.loop = loop;
    this.clock = clock;
    this.client = HttpClient.create(loop, 500);
    this.random = new Random(settings.seed());
    this.batch = new EngineBatch(settings, loop, clock, audit);
    this.prefixes = new PrefixCache(settings, loop);
    this.boot = newBootId();
    updateLoadReport();
    loop.scheduleAtFixedRate(
        this::updateLoadReport, settings.loadLagMs(), settings.loadLagMs(), TimeUnit.MILLISECONDS);
  }

  private static String newBootId() {
    return UUID.randomUUID().toString();
  }

  private void updateLoadReport() {
    report = new LoadReport(batch.runningCount(), batch.queuedCount(), clock.millis());
  }

  @Override
  void setFaults(String json) {
    faults = read(json, Faults.class);
    if (faults.restart()) {
      restart();
    }
    if (faults.stallMs() > 0) {
      batch.stall(faults.stallMs());
    }
    if (!faults.hangLoads()) {
      List.copyOf(pending).stream().filter(load -> load.hung).forEach(this::fetch);
    }
  }

  private void restart() {
    List<PendingLoad> interrupted = List.copyOf(pending);
    pending.clear();
    interrupted.forEach(load -> load.responders.forEach(HttpResponder::abort));
    slots.clear();
    batch.kill(stream -> true);
    prefixes.clear();
    importedKv.clear();
    fence = 0;
    role = "";
    boot = newBootId();
  }

  @Override
  Object audit(HttpRequestMessage request) {
    boolean withRuns = !request.query("runs").orElse("1").equals("0");
    return audit.report(settings.id(), boot, withRuns);
  }

  @Override
  void serve(HttpRequestMessage request, HttpResponder responder) {
    String path = request.path();
    if (path.startsWith(STREAMS)) {
      streams(request, path.substring(STREAMS.length()), responder);
      return;
    }
    switch (path) {
      case "/v1/completions" -> complete(read(request.text(), Completion.class), responder);
      case "/v1/orders" -> order(read(request.text(), Order.class), responder);
      case "/v1/state" -> ok(responder, state());
      case "/v1/load" -> ok(responder, report);
      case "/v1/cache-events" -> {
        long after = Long.parseLong(request.query("after").orElse("0"));
        ok(responder, new PrefixCache.Events(prefixes.eventsAfter(after)));
      }
      case "/v1/kv/export" -> exportKv(read(request.text(), KvName.class), responder);
      case "/v1/kv/import" -> {
        importedKv.add(read(request.text(), KvBlob.class).requestId());
        ok(responder, Map.of());
      }
      default -> error(responder, 404, "unknown path");
    }
  }

  private void complete(Completion request, HttpResponder responder) {
    if (faults.refuse() || batch.full()) {
      audit.busy();
      error(responder, 503, "busy");
      return;
    }
    Optional<EngineSlot> slot =
        slots.stream()
            .filter(s -> s.serves(request.adapter(), request.version(), request.handle()))
            .findFirst();
    if (slot.isEmpty()) {
      audit.notLoaded();
      error(responder, 409, "not_loaded");
      return;
    }
    audit.accepted();
    EngineStream stream =
        new EngineStream(request, slot.get(), prefill(request, slot.get()), clock.millis());
    if (faults.cutStreamAfter() > 0) {
      stream.cutAfter(request.resumeFrom() + faults.cutStreamAfter());
    }
    if (faults.loseAnswer()) {
      responder.abort();
    } else {
      attach(stream, responder, request.resumeFrom());
    }
    batch.add(stream);
  }

  private int prefill(Completion request, EngineSlot slot) {
    if (importedKv.remove(request.requestId())) {
      return 0;
    }
    boolean hit = prefixes.holds(slot, request.prompt());
    if (hit) {
      audit.prefixHit();
    }
    prefixes.add(slot, request.prompt());
    return prefixes.prefillSteps(hit, request.prompt());
  }

  private void attach(EngineStream stream, HttpResponder responder, int from) {
    stream.attach(responder, from, () -> stream.detach(clock.millis()));
  }

  private void streams(HttpRequestMessage request, String requestId, HttpResponder responder) {
    Optional<EngineStream> found = batch.find(requestId);
    if (found.isEmpty()) {
      error(responder, 404, "no_such_stream");
      return;
    }
    if (request.method().equals("DELETE")) {
      batch.kill(stream -> stream.request().requestId().equals(requestId));
      ok(responder, Map.of());
      return;
    }
    int from = Integer.parseInt(request.query("from").orElse("0"));
    found.get().cutAfter(Integer.MAX_VALUE);
    attach(found.get(), responder, from);
  }

  private void order(Order order, HttpResponder responder) {
    if (order.fence() < fence) {
      if (settings.checksFence()) {
        audit.staleRefused();
        respond(responder, 409, new StaleFence("stale_fence", fence));
        return;
      }
      audit.staleObeyed();
    }
    fence = Math.max(fence, order.fence());
    switch (order.order()) {
      case LOAD -> load(order, responder);
      case UNLOAD -> unload(order, responder);
      case ROLE -> {
        role = order.role() == null ? "" : order.role();
        ok(responder, Map.of());
      }
      default -> throw new IllegalArgumentException("unknown order: " + order.order());
    }
  }

  private Optional<EngineSlot> slot(String handle) {
    return slots.stream().filter(slot -> slot.handle().equals(handle)).findFirst();
  }

  private void load(Order order, HttpResponder responder) {
    if (order.adapter() == null || order.version() == null) {
      throw new IllegalArgumentException("LOAD needs adapter and version");
    }
    Optional<EngineSlot> existing = slot(order.handle());
    if (existing.isPresent()) {
      // A repeated order, sent because the first answer was lost, must not load the adapter twice.
      repeatLoad(existing.get(), responder);
      return;
    }
    if (slots.size() >= settings.slots()) {
      error(responder, 409, "no_slot");
      return;
    }
    String handle = order.handle() == null ? boot + "-" + ++handles : order.handle();
    EngineSlot slot = new EngineSlot(handle, order.adapter(), order.version());
    slots.add(slot);
    PendingLoad load = new PendingLoad(slot, responder);
    pending.add(load);
    if (faults.hangLoads()) {
      load.hung = true;
    } else {
      fetch(load);
    }
  }

  private void repeatLoad(EngineSlot slot, HttpResponder responder) {
    Optional<PendingLoad> load = pending.stream().filter(p -> p.slot == slot).findFirst();
    if (load.isPresent()) {
      load.get().responders.add(responder);
    } else {
      ok(responder, new Loaded(slot.handle()));
    }
  }

  private void fetch(PendingLoad load) {
    load.hung = false;
    String path = "/v1/weights/" + load.slot.adapter() + "/" + load.slot.version();
    client
        .send(HttpCall.to(settings.weights(), "GET", path), WEIGHTS_TIMEOUT_MS)
        .whenCompleteAsync((answer, failure) -> finishLoad(load, answer), loop);
  }

  private void finishLoad(PendingLoad load, HttpAnswer answer) {
    if (!pending.remove(load)) {
      return;
    }
    boolean received = answer != null && answer.ok();
    if (!received || random.nextDouble() < faults.failLoads()) {
      failLoad(load);
      return;
    }
    audit.loaded();
    load.slot.markReady();
    load.responders.forEach(responder -> ok(responder, new Loaded(load.slot.handle())));
  }

  private void failLoad(PendingLoad load) {
    audit.loadFailed();
    slots.remove(load.slot);
    load.responders.forEach(responder -> error(responder, 502, "load_failed"));
  }

  private void unload(Order order, HttpResponder responder) {
    Optional<EngineSlot> found = slot(order.handle());
    if (found.isEmpty()) {
      error(responder, 404, "no_such_handle");
      return;
    }
    EngineSlot slot = found.get();
    Optional<PendingLoad> load = pending.stream().filter(p -> p.slot == slot).findFirst();
    if (load.isPresent()) {
      pending.remove(load.get());
      failLoad(load.get());
    } else {
      audit.evicted(slot, batch.streamsOn(slot));
      slots.remove(slot);
      batch.kill(stream -> stream.slot() == slot && !stream.finished());
    }
    ok(responder, Map.of());
  }

  private State state() {
    List<SlotView> slotViews =
        slots.stream()
            .map(
                slot ->
                    new SlotView(
                        slot.handle(),
                        slot.adapter(),
                        slot.version(),
                        slot.state(),
                        batch.streamsOn(slot)))
            .toList();
    List<RunningView> runningViews =
        batch.unfinishedStreams().stream()
            .map(
                stream ->
                    new RunningView(
                        stream.request().requestId(),
                        stream.request().attempt(),
                        stream.slot().adapter(),
                        stream.slot().version(),
                        stream.produced()))
            .toList();
    return new State(settings.id(), boot, fence, role, slotViews, runningViews);
  }

  private void exportKv(KvName name, HttpResponder responder) {
    Optional<EngineStream> found = batch.find(String.valueOf(name.requestId()));
    if (found.isEmpty()) {
      error(responder, 404, "no_such_stream");
      return;
    }
    EngineStream stream = found.get();
    EngineSlot slot = stream.slot();
    ok(responder, new KvBlob(name.requestId(), slot.adapter(), slot.version(), stream.produced()));
  }

  /** A load in progress; compared by identity. */
  private static final class PendingLoad {

    private final EngineSlot slot;
    private final List<HttpResponder> responders = new ArrayList<>();
    private boolean hung;

    PendingLoad(EngineSlot slot, HttpResponder first) {
      this.slot = slot;
      responders.add(first);
    }
  }

  private record Faults(
      double failLoads,
      boolean hangLoads,
      boolean restart,
      int stallMs,
      int cutStreamAfter,
      boolean loseAnswer,
      boolean refuse) {}
}
