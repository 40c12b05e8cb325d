package io.sequoiapass.testbed.standin;

import io.netty.channel.EventLoop;
import io.sequoiapass.daemon.connection.HttpRequestMessage;
import io.sequoiapass.daemon.connection.HttpResponder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Stand-in for the weight store; concurrent loads share its bandwidth.
 *
 * <p>Uses processor sharing: with n loads in progress each proceeds at 1/n of the full speed, so
 * the total throughput never exceeds that of a single load.
 */
final class WeightStoreStandIn extends AuditedHandler {

  private static final String PREFIX = "/v1/weights/";
  private static final double FINISHED_REMAINDER_MS = 0.5;

  private final int loadMs;
  private final EventLoop loop;
  private final Random random;
  private final List<Load> loads = new ArrayList<>();
  private Faults faults = new Faults(0, 0, List.of());
  private long advancedAt = System.nanoTime();
  private Future<?> nextCompletion;
  private long started;
  private long finished;
  private long failed;
  private int mostAtOnce;

  WeightStoreStandIn(int loadMs, long seed, EventLoop loop) {
    this.loadMs = loadMs;
    this.loop = loop;
    this.random = new Random(seed);
  }

  @Override
  void setFaults(String json) {
    advance();
    faults = read(json, Faults.class);
    schedule();
  }

  @Override
  Object audit(HttpRequestMessage request) {
    return new AuditReport(started, finished, failed, loads.size(), mostAtOnce);
  }

  @Override
  void serve(HttpRequestMessage request, HttpResponder responder) {
    if (!request.path().startsWith(PREFIX)) {
      error(responder, 404, "unknown path");
      return;
    }
    String name = request.path().substring(PREFIX.length());
    if (faults.missing().contains(name)) {
      error(responder, 404, "unknown weights");
      return;
    }
    advance();
    started++;
    Load load = new Load(name, responder, loadMs);
    loads.add(load);
    mostAtOnce = Math.max(mostAtOnce, loads.size());
    responder.onClose(
        () -> {
          advance();
          loads.remove(load);
          schedule();
        });
    schedule();
  }

  private void advance() {
    long now = System.nanoTime();
    double passedMs = (now - advancedAt) / 1e6;
    advancedAt = now;
    if (loads.isEmpty()) {
      return;
    }
    double shareMs = passedMs / (faults.slowFactor() * loads.size());
    for (Load load : loads) {
      load.remainingMs -= shareMs;
    }
  }

  private void schedule() {
    if (nextCompletion != null) {
      nextCompletion.cancel(false);
      nextCompletion = null;
    }
    if (loads.isEmpty()) {
      return;
    }
    double minRemainingMs =
        loads.stream().mapToDouble(load -> load.remainingMs).min().orElseThrow();
    double waitMs = Math.max(0, minRemainingMs) * loads.size() * faults.slowFactor();
    nextCompletion =
        loop.schedule(this::finishLoads, (long) Math.ceil(waitMs * 1_000), TimeUnit.MICROSECONDS);
  }

  private void finishLoads() {
    nextCompletion = null;
    advance();
    List<Load> done =
        loads.stream().filter(load -> load.remainingMs < FINISHED_REMAINDER_MS).toList();
    loads.removeAll(done);
    done.forEach(this::answer);
    schedule();
  }

  private void answer(Load load) {
    if (random.nextDouble() < faults.fail()) {
      failed++;
      error(load.responder, 503, "failed");
      return;
    }
    finished++;
    load.responder.respond(200, Map.of(), load.name.getBytes(StandardCharsets.UTF_8));
  }

  /** A load in progress; compared by identity. */
  private static final class Load {

    private final String name;
    private final HttpResponder responder;
    private double remainingMs;

    Load(String name, HttpResponder responder, double remainingMs) {
      this.name = name;
      this.responder = responder;
      this.remainingMs = remainingMs;
    }
  }

  private record Faults(double fail, double slow, List<String> missing) {

    Faults {
      missing = missing == null ? List.of() : missing;
    }

    double slowFactor() {
      return slow > 0 ? slow : 1;
    }
  }

  private record AuditReport(
      long started, long finished, long failed, int underWay, int mostAtOnce) {}
}
