package io.sequoiapass.testbed.standin;

import io.netty.channel.EventLoop;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.testbed.standin.EngineMessages.Completion;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Runs streams in steps: each step gives each stream of the batch one token, and takes longer the
 * more streams and adapters are in it. Used on one event loop.
 */
final class EngineBatch {

  private static final long MIN_STEP_NANOS = 5_000_000;

  private final EngineSettings settings;
  private final EventLoop loop;
  private final MillisClock clock;
  private final EngineJudge judge;
  private final List<EngineStream> queue = new ArrayList<>();
  private final List<EngineStream> running = new ArrayList<>();
  private final List<EngineStream> kept = new ArrayList<>();
  private boolean stepping;
  private long nextStepAt;

  EngineBatch(EngineSettings settings, EventLoop loop, MillisClock clock, EngineJudge judge) {
    this.settings = settings;
    this.loop = loop;
    this.clock = clock;
    this.judge = judge;
    long sweepMs = Math.max(10, settings.keepMs() / 10);
    loop.scheduleAtFixedRate(this::sweep, sweepMs, sweepMs, TimeUnit.MILLISECONDS);
  }

  boolean full() {
    return running.size() >= settings.maxStreams() && queue.size() >= settings.maxQueue();
  }

  int runningCount() {
    return running.size();
  }

  int queuedCount() {
    return queue.size();
  }

  /** Returns the streams taken and not finished, those that wait for a place in a step included. */
  List<EngineStream> underWay() {
    return Stream.concat(running.stream(), queue.stream()).toList();
  }

  void add(EngineStream stream) {
    queue.add(stream);
    if (!stepping) {
      stepping = true;
      nextStepAt = System.nanoTime();
      fill();
      scheduleStep();
    }
  }

  /** Makes the next step wait. */
  void stall(long millis) {
    nextStepAt = Math.max(nextStepAt, System.nanoTime()) + TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private void fill() {
    queue.sort(Comparator.comparing(EngineStream::priority));
    while (running.size() < settings.maxStreams() && !queue.isEmpty()) {
      EngineStream next = queue.remove(0);
      next.joinedBatch(clock.millis());
      judge.started(next.request());
      running.add(next);
    }
  }

  private int adapters() {
    return (int) running.stream().map(EngineStream::slot).distinct().count();
  }

  private void scheduleStep() {
    long costMicros =
        settings.baseMicros()
            + (long) settings.streamMicros() * running.size()
            + (long) settings.adapterMicros() * adapters();
    long now = System.nanoTime();
    // Counted from the last step's due time, so that timers that fire late don't slow the engine.
    nextStepAt = Math.max(nextStepAt, now - MIN_STEP_NANOS);
    nextStepAt += Math.max(MIN_STEP_NANOS, TimeUnit.MICROSECONDS.toNanos(costMicros));
    loop.schedule(this::step, nextStepAt - now, TimeUnit.NANOSECONDS);
  }

  private void step() {
    long now = System.nanoTime();
    if (now < nextStepAt) {
      loop.schedule(this::step, nextStepAt - now, TimeUnit.NANOSECONDS);
      return;
    }
    if (!running.isEmpty()) {
      judge.step(running.size(), adapters());
    }
    for (EngineStream stream : List.copyOf(running)) {
      if (stream.step()) {
        judge.token(stream.request());
      }
      if (stream.finished()) {
        running.remove(stream);
        kept.add(stream);
        stream.finishedAt(clock.millis());
      }
    }
    fill();
    if (running.isEmpty()) {
      stepping = false;
    } else {
      scheduleStep();
    }
  }

  /** Drops the streams that nobody came back for. */
  private void sweep() {
    long latest = clock.millis() - settings.keepMs();
    Predicate<EngineStream> over = stream -> stream.abandonedSince(latest);
    queue.removeIf(over);
    running.removeIf(over);
    kept.removeIf(over);
  }

  /** Returns the newest stream of a request. */
  Optional<EngineStream> find(String requestId) {
    Optional<EngineStream> found = Optional.empty();
    for (List<EngineStream> streams : List.of(kept, running, queue)) {
      for (EngineStream stream : streams) {
        if (stream.request().requestId().equals(requestId) && newer(stream, found)) {
          found = Optional.of(stream);
        }
      }
    }
    return found;
  }

  private static boolean newer(EngineStream stream, Optional<EngineStream> than) {
    Completion request = stream.request();
    return than.isEmpty() || than.get().request().attempt() <= request.attempt();
  }

  int streamsOn(EngineSlot slot) {
    return (int) running.stream().filter(stream -> stream.slot() == slot).count()
        + (int) queue.stream().filter(stream -> stream.slot() == slot).count();
  }

  /** Ends all streams that match, cutting off their readers. */
  void kill(Predicate<EngineStream> which) {
    for (List<EngineStream> streams : List.of(queue, running, kept)) {
      List<EngineStream> killed = streams.stream().filter(which).toList();
      streams.removeAll(killed);
      killed.forEach(stream -> stream.abort(clock.millis()));
    }
  }
}
