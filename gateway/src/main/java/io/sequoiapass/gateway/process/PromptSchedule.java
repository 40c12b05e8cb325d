package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.connection.RoomMessage.PromptOption;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Decides when and where engines read long prompts, so that running streams keep their pauses.
 *
 * <pre>{@code
 * schedule.ask(key, request, now);   // turns that can be given now
 * schedule.read(key, now);           // the prompt was read: turns for others
 * }</pre>
 *
 * <p>An engine reads prompts in chunks between the tokens of running streams, and each token takes
 * as long as a chunk while there is a prompt to read. The load is several long prompts that meet at
 * one engine: all its streams pause until the last of them is read. An engine therefore gets
 * prompts in batches that are read within a share of the target for pauses, and a short break
 * between two batches, in which streams make progress. Prompts that wait go by priority, then by
 * arrival. Not safe for use by several threads.
 *
 * @param <K> identifies a request
 */
final class PromptSchedule<K> {

  /** Share of the target for pauses in which one batch is read. */
  private static final double BATCH_SHARE = 0.75;

  /** Break between two batches, in milliseconds: a few steps of an engine. */
  static final long BREAK_MS = 12;

  /** A turn ends after this multiple of the time in which its batch should be read. */
  private static final double EXPIRY_RATIO = 4;

  /** Shortest time after which a turn ends without a report, in milliseconds. */
  private static final long MIN_EXPIRY_MS = 1_000;

  /** Largest number of requests that wait; further ones are sent without a turn. */
  private static final int MAX_WAITING = 10_000;

  private final ToDoubleFunction<EndpointId> tokensPerMs;
  private final Map<EndpointId, Batch<K>> batches = new HashMap<>();
  private final Map<K, Waiting> waiting = new HashMap<>();
  private final Map<K, EndpointId> turns = new HashMap<>();
  private long arrivals;

  /**
   * A request for a turn.
   *
   * @param adapter its adapter; empty for the base model alone
   * @param flow its priority and workspace
   * @param gapMs the target for pauses of streams, in milliseconds
   * @param options the engines that can serve it, the preferred first; not empty
   */
  record Request(
      Optional<AdapterName> adapter, Flow flow, long gapMs, List<PromptOption> options) {}

  /**
   * A turn.
   *
   * @param key the request
   * @param endpoint the engine
   * @param delayMs after which time the request may be sent, in milliseconds
   */
  record Turn<K>(K key, EndpointId endpoint, long delayMs) {}

  private record Waiting(Request request, long arrival) {}

  private record Unread(double readMs, long expiresAt) {}

  /** The prompts that one engine reads without a break. */
  private static final class Batch<K> {
    private final Map<K, Unread> unread = new HashMap<>();
    private double totalMs;
    private double unreadMs;
    private long gapMs = Long.MAX_VALUE;
    private long opensAt;

    private boolean canTake(double readMs, long otherGapMs) {
      return unread.isEmpty() || totalMs + readMs <= BATCH_SHARE * Math.min(gapMs, otherGapMs);
    }

    private double finishMs(double readMs, long now) {
      return Math.max(0, opensAt - now) + unreadMs + readMs;
    }

    private void add(K key, double readMs, long otherGapMs, long now) {
      totalMs += readMs;
      unreadMs += readMs;
      gapMs = Math.min(gapMs, otherGapMs);
      long expectedMs = (long) (EXPIRY_RATIO * finishMs(0, now));
      unread.put(key, new Unread(readMs, now + Math.max(MIN_EXPIRY_MS, expectedMs)));
    }

    private void remove(K key, long now) {
      Unread removed = unread.remove(key);
      if (removed != null) {
        unreadMs = Math.max(0, unreadMs - removed.readMs());
      }
      if (unread.isEmpty()) {
        totalMs = 0;
        unreadMs = 0;
        gapMs = Long.MAX_VALUE;
        opensAt = now + BREAK_MS;
      }
    }
  }

  /**
   * Creates a schedule without requests.
   *
   * @param tokensPerMs returns the reading speed of an engine, in tokens per millisecond
   */
  PromptSchedule(ToDoubleFunction<EndpointId> tokensPerMs) {
    this.tokensPerMs = tokensPerMs;
  }

  /** Adds a request; returns its turn if it can be given now. */
  Optional<Turn<K>> ask(K key, Request request, long now) {
    if (waiting.size() >= MAX_WAITING) {
      return Optional.of(new Turn<>(key, request.options().get(0).endpoint(), 0));
    }
    Optional<Turn<K>> turn = give(key, request, now);
    if (turn.isEmpty()) {
      waiting.put(key, new Waiting(request, arrivals++));
    }
    return turn;
  }

  /** Ends a turn, or the wait for one; returns the turns that can be given now. */
  List<Turn<K>> read(K key, long now) {
    waiting.remove(key);
    end(key, now);
    return giveWaiting(now);
  }

  /** Does the same for all requests that match. */
  List<Turn<K>> removeIf(Predicate<K> matches, long now) {
    waiting.keySet().removeIf(matches);
    turns.keySet().stream().filter(matches).toList().forEach(key -> end(key, now));
    return giveWaiting(now);
  }

  /** Ends the turns that were not reported as read in time; called several times a second. */
  List<Turn<K>> expire(long now) {
    List<K> expired = new ArrayList<>();
    for (Batch<K> batch : batches.values()) {
      batch.unread.forEach(
          (key, unread) -> {
            if (unread.expiresAt() < now) {
              expired.add(key);
            }
          });
    }
    expired.forEach(key -> end(key, now));
    batches.values().removeIf(batch -> batch.unread.isEmpty() && batch.opensAt < now);
    return giveWaiting(now);
  }

  /** Returns the requests that wait. */
  List<Request> waiting() {
    return waiting.values().stream().map(Waiting::request).toList();
  }

  /** Removes all requests. */
  void clear() {
    batches.clear();
    waiting.clear();
    turns.clear();
  }

  private void end(K key, long now) {
    EndpointId endpoint = turns.remove(key);
    if (endpoint != null) {
      batches.get(endpoint).remove(key, now);
    }
  }

  private List<Turn<K>> giveWaiting(long now) {
    if (waiting.isEmpty()) {
      return List.of();
    }
    List<Map.Entry<K, Waiting>> inOrder = new ArrayList<>(waiting.entrySet());
    inOrder.sort(
        Comparator.comparingInt(
                (Map.Entry<K, Waiting> entry) -> entry.getValue().request().flow().priority())
            .thenComparingLong(entry -> entry.getValue().arrival()));
    List<Turn<K>> given = new ArrayList<>();
    for (Map.Entry<K, Waiting> entry : inOrder) {
      give(entry.getKey(), entry.getValue().request(), now).ifPresent(given::add);
    }
    given.forEach(turn -> waiting.remove(turn.key()));
    return given;
  }

  /** Gives a turn at the engine that finishes first, if there is one that can take the prompt. */
  private Optional<Turn<K>> give(K key, Request request, long now) {
    PromptOption best = null;
    double bestMs = Double.MAX_VALUE;
    for (PromptOption option : request.options()) {
      Batch<K> batch = batch(option.endpoint());
      double readMs = readMs(option);
      if (batch.canTake(readMs, request.gapMs()) && batch.finishMs(readMs, now) < bestMs) {
        best = option;
        bestMs = batch.finishMs(readMs, now);
      }
    }
    if (best == null) {
      return Optional.empty();
    }
    Batch<K> batch = batch(best.endpoint());
    batch.add(key, readMs(best), request.gapMs(), now);
    turns.put(key, best.endpoint());
    return Optional.of(new Turn<>(key, best.endpoint(), Math.max(0, batch.opensAt - now)));
  }

  private double readMs(PromptOption option) {
    return Math.max(0, option.tokens()) / tokensPerMs.applyAsDouble(option.endpoint());
  }

  private Batch<K> batch(EndpointId endpoint) {
    return batches.computeIfAbsent(endpoint, any -> new Batch<>());
  }
}
