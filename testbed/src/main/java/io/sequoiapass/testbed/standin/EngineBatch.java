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
 * Continuous batching in steps: each step produces one token for each stream of the batch, and its
 * duration grows with the number of streams and distinct adapters. Confined to one event loop.
 */
final class EngineBatch {

  private static final long MIN_STEP_NANOS = 5_000_000;

  private final EngineSettings settings;
  private final EventLoop loop;
  private final MillisClock clock;
  private final EngineAudit audit;
  private final List<EngineStream> queue = new ArrayList<>();
  private final List<EngineStream> running = new ArrayList<>();
  private final List<EngineStream> finished = new ArrayList<>();
  private boolean stepping;
  private long nextStepAt;

  EngineBatch(EngineSettings settings, EventLoop loop, MillisClock clock, EngineAudit audit) {
    this.settings = settings;
    this.loop = loop;
    this.clock = clock;
    this.audit = audit;
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

  /** Returns the accepted streams that are not finished, queued ones included. */
  List<EngineStream> unfinishedStreams() {
    return Stream.concat(running.stream(), queue.stream()).toList();
  }

  void add(EngineStream stream) {
    queue.add(stream);
    if (!stepping) {
      stepping = true;
      nextStepAt = System.nanoTime();
      admitQueued();
      scheduleStep();
    }
  }

  /** Delays the next step. */
  void stall(long millis) {
    nextStepAt = Math.max(nextStepAt, System.nanoTime()) + TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private void admitQueued() {
    queue.sort(Comparator.comparing(EngineStream::priority));
    while (running.size() < settings.maxStreams() && !queue.isEmpty()) {
      EngineStream next = queue.remove(0);
      next.markAdmitted(clock.millis());
      audit.started(next.request());
      running.add(next);
    }
  }

  private int distinctAdapters() {
    return (int) running.stream().map(EngineStream::slot).distinct().count();
  }

  private void scheduleStep() {
    long costMicros =
        settings.baseMicros()
            + (long) settings.streamMicros() * running.size()
            + (long) settings.adapterMicros() * distinctAdapters();
    long now = System.nanoTime();
    // Based on the last step's due time, so that late timers don't slow the engine down.
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
      audit.step(running.size(), distinctAdapters());
    }
    for (EngineStream stream : List.copyOf(running)) {
      if (stream.step()) {
        audit.token(stream.request());
      }
      if (stream.finished()) {
        running.remove(stream);
        finished.add(stream);
        stream.markFinished(clock.millis());
      }
    }
    admitQueued();
    if (running.isEmpty()) {
      stepping = false;
    } else {
      scheduleStep();
    }
  }

  /** Removes streams that have had no reader for the retention time. */
  private void sweep() {
    long latest = clock.millis() - settings.keepMs();
    Predicate<EngineStream> expired = stream -> stream.abandonedSince(latest);
    queue.removeIf(expired);
    running.removeIf(expired);
    finished.removeIf(expired);
  }

  /** Returns the stream of the latest attempt of a request. */
  Optional<EngineStream> find(String requestId) {
    Optional<EngineStream> found = Optional.empty();
    for (List<EngineStream> streams : List.of(finished, running, queue)) {
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

  /** Removes all matching streams and closes the connections of their readers. */
  void kill(Predicate<EngineStream> which) {
    for (List<EngineStream> streams : List.of(queue, running, finished)) {
      List<EngineStream> killed = streams.stream().filter(which).toList();
      streams.removeAll(killed);
      killed.forEach(stream -> stream.abort(clock.millis()));
    }
  }
}
