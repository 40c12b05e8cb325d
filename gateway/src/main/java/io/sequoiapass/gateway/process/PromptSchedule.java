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
import java.util.function.Function;
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
 * between two batches, in which streams make progress.
 *
 * <p>Prompts that wait go by priority, then by arrival. Under a steady stream of urgent prompts the
 * others would wait until they are late, so they move up as the time runs out in which they can be
 * in time. At most every other turn at an engine goes to one of them while more urgent ones wait,
 * which therefore keep half of it. Not safe for use by several threads.
 *
 * @param <K> identifies a request
 */
final class PromptSchedule<K> {

  /** Share of the target for pauses in which one batch is read. */
  private static final double BATCH_SHARE = 0.75;

  /** Unscheduled reading up to this share of the target for pauses does not make an engine busy. */
  private static final double IDLE_SHARE = 0.1;

  /** Break between two batches, in milliseconds: a few steps of an engine. */
  static final long BREAK_MS = 12;

  /** A turn ends after this multiple of the time in which its batch should be read. */
  private static final double EXPIRY_RATIO = 4;

  /** Shortest time after which a turn ends without a report, in milliseconds. */
  private static final long MIN_EXPIRY_MS = 1_000;

  /** Largest number of requests that wait; further ones are sent without a turn. */
  private static final int MAX_WAITING = 10_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final ToDoubleFunction<EndpointId> tokensPerMs;
  private final UnscheduledPrompts<?> unscheduled;
  private final Listener listener;
  private final Map<EndpointId, Batch<K>> batches = new HashMap<>();
  private final Map<K, Waiting<K>> waiting = new HashMap<>();
  private final Map<K, EndpointId> turns = new HashMap<>();
  private long arrivals;

  /** Receives what operators need to know. */
  interface Listener {

    /**
     * Called when turns ended because they were not reported as read in time.
     *
     * @param endpoint the engine
     * @param count number of turns
     * @param tokens the tokens that the engine had to read for them
     */
    void expired(EndpointId endpoint, int count, long tokens);

    /**
     * Called when all prompts of a batch were read.
     *
     * @param readMs how long they take to read, in milliseconds
     */
    void batchRead(long readMs);
  }

  /**
   * A request for a turn.
   *
   * @param adapter its adapter; empty for the base model alone
   * @param flow its priority and workspace
   * @param gapMs the target for pauses of streams, in milliseconds
   * @param inTimeMs time within which it has to be sent to be answered in time, in milliseconds
   * @param options the engines that can serve it, the preferred first; not empty
   */
  record Request(
      Optional<AdapterName> adapter,
      Flow flow,
      long gapMs,
      long inTimeMs,
      List<PromptOption> options) {}

  /**
   * A turn.
   *
   * @param key the request
   * @param endpoint the engine
   * @param delayMs after which time the request may be sent, in milliseconds
   */
  record Turn<K>(K key, EndpointId endpoint, long delayMs) {}

  private record Waiting<K>(K key, Request request, long arrival, long askedAt) {

    private int priority() {
      return request.flow().priority();
    }

    /**
     * Returns its place among the priorities. It moves up step by step, and is as urgent as any in
     * the last gap between two batches; if it is late in any case, it has its own priority.
     */
    private int rank(long now) {
      long leftMs = request.inTimeMs() - (now - askedAt);
      if (leftMs <= 0) {
        return priority();
      }
      long lastMs = Math.min(request.gapMs(), request.inTimeMs() / 2);
      double leftShare = (double) (leftMs - lastMs) / (request.inTimeMs() - lastMs);
      return (int) Math.ceil(priority() * Math.max(0, leftShare));
    }
  }

  private record Unread(long tokens, double readMs, long expiresAt) {}

  /** The prompts that one engine reads without a break. */
  private static final class Batch<K> {
    private final Map<K, Unread> unread = new HashMap<>();

    /** Prompts that were sent without a turn. */
    private final Map<K, Unread> others = new HashMap<>();

    private double totalMs;
    private double unreadMs;
    private double othersMs;
    private long gapMs = Long.MAX_VALUE;
    private long opensAt;
    private boolean lastMovedUp;
    private long blockedSince;
    private long blockedAt = NEVER;

    /**
     * Returns whether a prompt can be read with the others. An engine that has no turns left to
     * read, but too much else, takes a prompt once a gap: prompts without a turn would hold back
     * more urgent ones otherwise.
     */
    private boolean canTake(double readMs, double unscheduledMs, long otherGapMs, long now) {
      double elseMs = unscheduledMs + othersMs;
      if (totalMs + elseMs + readMs <= BATCH_SHARE * Math.min(gapMs, otherGapMs)) {
        return true;
      }
      if (!unread.isEmpty()) {
        return false;
      }
      return elseMs <= IDLE_SHARE * otherGapMs || isBlockedFor(otherGapMs, now);
    }

    private boolean isBlockedFor(long otherGapMs, long now) {
      if (now - blockedAt > otherGapMs) {
        blockedSince = now;
      }
      blockedAt = now;
      return now - blockedSince > otherGapMs;
    }

    private double finishMs(double readMs, long now) {
      return Math.max(0, opensAt - now) + unreadMs + othersMs + readMs;
    }

    private Unread unread(PromptOption option, double readMs, long now) {
      long expectedMs = (long) (EXPIRY_RATIO * finishMs(0, now));
      long expiresAt = now + Math.max(MIN_EXPIRY_MS, expectedMs);
      return new Unread(Math.max(0, option.tokens()), readMs, expiresAt);
    }

    private void add(K key, PromptOption option, double readMs, long otherGapMs, long now) {
      totalMs += readMs;
      unreadMs += readMs;
      gapMs = Math.min(gapMs, otherGapMs);
      blockedAt = NEVER;
      unread.put(key, unread(option, readMs, now));
    }

    private void addOther(K key, PromptOption option, double readMs, long now) {
      othersMs += readMs;
      others.put(key, unread(option, readMs, now));
    }

    private void remove(K key, long now) {
      Unread other = others.remove(key);
      if (other != null) {
        othersMs = others.isEmpty() ? 0 : othersMs - other.readMs();
        return;
      }
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

    private Map<K, Unread> all() {
      Map<K, Unread> all = new HashMap<>(unread);
      all.putAll(others);
      return all;
    }

    private boolean isIdle(long now) {
      return unread.isEmpty()
          && others.isEmpty()
          && opensAt < now
          && blockedAt + MIN_EXPIRY_MS < now;
    }
  }

  /**
   * Creates a schedule without requests.
   *
   * @param tokensPerMs returns the reading speed of an engine, in tokens per millisecond
   * @param unscheduled prompts that engines got otherwise
   * @param listener receives what operators need to know
   */
  PromptSchedule(
      ToDoubleFunction<EndpointId> tokensPerMs,
      UnscheduledPrompts<?> unscheduled,
      Listener listener) {
    this.tokensPerMs = tokensPerMs;
    this.unscheduled = unscheduled;
    this.listener = listener;
  }

  /** Adds a request; returns its turn if it can be given now. */
  Optional<Turn<K>> ask(K key, Request request, long now) {
    if (waiting.size() >= MAX_WAITING) {
      return Optional.of(new Turn<>(key, request.options().get(0).endpoint(), 0));
    }
    Waiting<K> asked = new Waiting<>(key, request, arrivals++, now);
    Optional<Turn<K>> turn = give(asked, false, now);
    if (turn.isEmpty()) {
      waiting.put(key, asked);
    }
    return turn;
  }

  /** Adds a prompt that was sent without a turn; its engine gets fewer until it is read. */
  void sent(K key, PromptOption engine, long now) {
    waiting.remove(key);
    end(key, now);
    batch(engine.endpoint()).addOther(key, engine, readMs(engine), now);
    turns.put(key, engine.endpoint());
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
    batches.forEach((endpoint, batch) -> expire(endpoint, batch, now));
    batches.values().removeIf(batch -> batch.isIdle(now));
    return giveWaiting(now);
  }

  private void expire(EndpointId endpoint, Batch<K> batch, long now) {
    List<K> expired = new ArrayList<>();
    long tokens = 0;
    for (Map.Entry<K, Unread> entry : batch.all().entrySet()) {
      if (entry.getValue().expiresAt() < now) {
        expired.add(entry.getKey());
        tokens += entry.getValue().tokens();
      }
    }
    if (!expired.isEmpty()) {
      expired.forEach(
          key -> {
            turns.remove(key);
            batch.remove(key, now);
          });
      listener.expired(endpoint, expired.size(), tokens);
    }
  }

  /** Returns the tokens that an engine has to read for the requests that match. */
  long unreadTokens(EndpointId endpoint, Predicate<K> matches) {
    Batch<K> batch = batches.get(endpoint);
    long sum = 0;
    if (batch != null) {
      for (Map.Entry<K, Unread> entry : batch.all().entrySet()) {
        sum += matches.test(entry.getKey()) ? entry.getValue().tokens() : 0;
      }
    }
    return sum;
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
      Batch<K> batch = batches.get(endpoint);
      long totalMs = Math.round(batch.totalMs);
      batch.remove(key, now);
      if (totalMs > 0 && batch.unread.isEmpty()) {
        listener.batchRead(totalMs);
      }
    }
  }

  /** Gives turns to waiting requests; called whenever an engine may have become free. */
  List<Turn<K>> giveWaiting(long now) {
    List<Waiting<K>> inOrder = waitingForOpenEngines();
    if (inOrder.isEmpty()) {
      return List.of();
    }
    inOrder.sort(
        Comparator.comparingInt((Waiting<K> one) -> one.rank(now))
            .thenComparingLong(Waiting::arrival));
    List<Turn<K>> given = new ArrayList<>();
    List<Waiting<K>> heldBack = new ArrayList<>();
    for (Waiting<K> one : inOrder) {
      boolean movedUp = one.rank(now) < one.priority();
      Optional<Turn<K>> turn = give(one, movedUp, now);
      turn.ifPresent(given::add);
      if (movedUp && turn.isEmpty()) {
        heldBack.add(one);
      }
    }
    // They get the room that no more urgent request could take.
    heldBack.forEach(one -> give(one, false, now).ifPresent(given::add));
    given.forEach(turn -> waiting.remove(turn.key()));
    return given;
  }

  /** Under overload most engines are full, and many requests wait; the others are not sorted. */
  private List<Waiting<K>> waitingForOpenEngines() {
    long fewestTokens = Long.MAX_VALUE;
    for (Waiting<K> one : waiting.values()) {
      for (PromptOption option : one.request().options()) {
        fewestTokens = Math.min(fewestTokens, option.tokens());
      }
    }
    long shortest = fewestTokens;
    Function<EndpointId, Boolean> isOpen = endpoint -> isOpen(endpoint, shortest);
    Map<EndpointId, Boolean> open = new HashMap<>();
    List<Waiting<K>> found = new ArrayList<>();
    for (Waiting<K> one : waiting.values()) {
      for (PromptOption option : one.request().options()) {
        if (open.computeIfAbsent(option.endpoint(), isOpen)) {
          found.add(one);
          break;
        }
      }
    }
    return found;
  }

  /** Gives a turn at the engine that finishes first, if there is one that can take the prompt. */
  private Optional<Turn<K>> give(Waiting<K> one, boolean movedUp, long now) {
    long gapMs = one.request().gapMs();
    PromptOption best = null;
    double bestMs = Double.MAX_VALUE;
    for (PromptOption option : one.request().options()) {
      Batch<K> batch = batch(option.endpoint());
      double speed = tokensPerMs.applyAsDouble(option.endpoint());
      double otherMs = unscheduled.unreadMs(option.endpoint(), speed, now);
      double readMs = Math.max(0, option.tokens()) / speed;
      double finishMs = otherMs + batch.finishMs(readMs, now);
      boolean allowed =
          !(movedUp && batch.lastMovedUp) && batch.canTake(readMs, otherMs, gapMs, now);
      if (allowed && finishMs < bestMs) {
        best = option;
        bestMs = finishMs;
      }
    }
    if (best == null) {
      return Optional.empty();
    }
    Batch<K> batch = batch(best.endpoint());
    batch.add(one.key(), best, readMs(best), gapMs, now);
    batch.lastMovedUp = movedUp;
    turns.put(one.key(), best.endpoint());
    return Optional.of(new Turn<>(one.key(), best.endpoint(), Math.max(0, batch.opensAt - now)));
  }

  private boolean isOpen(EndpointId endpoint, long tokens) {
    Batch<K> batch = batches.get(endpoint);
    return batch == null
        || batch.unread.isEmpty()
        || batch.canTake(readMs(new PromptOption(endpoint, tokens)), 0, Long.MAX_VALUE, 0);
  }

  private double readMs(PromptOption option) {
    return Math.max(0, option.tokens()) / tokensPerMs.applyAsDouble(option.endpoint());
  }

  private Batch<K> batch(EndpointId endpoint) {
    return batches.computeIfAbsent(endpoint, any -> new Batch<>());
  }
}
