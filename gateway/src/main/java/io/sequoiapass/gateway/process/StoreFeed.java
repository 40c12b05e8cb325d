package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.spi.MetadataStore;
import io.sequoiapass.gateway.spi.StoreChanges;
import io.sequoiapass.gateway.spi.StoreException;
import io.sequoiapass.gateway.spi.StoreKind;
import io.sequoiapass.gateway.spi.StoreList;
import io.sequoiapass.gateway.spi.Stored;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;

/**
 * Notifies a listener of the objects of one kind: lists them, then watches for changes until the
 * process ends.
 *
 * <pre>{@code
 * StoreFeed<EndpointEntry> feed =
 *     new StoreFeed<>(
 *         store, StoreKind.ENDPOINTS, timing, relay, CallObserver.NONE, listener, loop, clock, log,
 *         guard);
 * feed.start();
 * }</pre>
 *
 * <p>Pauses while coordinators watch the store for this daemon, also if the store does not answer
 * it, and lists only when they report a newer revision.
 *
 * <p>The listener is called by one thread at a time, in the order of the store's revisions. Safe
 * for use by several threads.
 *
 * @param <T> the type of the values
 */
final class StoreFeed<T> {

  /**
   * Receives what the store returns, one object at a time; must not block. An exception concerns
   * the object of the call only: the feed logs it and continues with the next one.
   */
  interface Listener<T> {

    /**
     * Called with an object that is listed or has changed.
     *
     * @param object the object; without a value if it comes from another writer
     * @return whether it contains anything new
     */
    boolean present(Stored<T> object);

    /**
     * Called with an object that was removed.
     *
     * @param object the object, whose name may be any text
     * @param afterOutage whether the store was unreachable before
     * @return whether it was known
     */
    boolean removed(Stored<T> object, boolean afterOutage);

    /**
     * Called after all objects of a list: all others have been removed.
     *
     * @param list the list
     * @param afterOutage whether the store was unreachable before
     * @return whether any other was known
     */
    boolean listed(StoreList<T> list, boolean afterOutage);

    /**
     * Called after a list or some changes.
     *
     * @param revision the store's revision up to which objects have been passed on
     */
    void upTo(long revision);

    /**
     * Returns a listener for objects that are never removed.
     *
     * @param consumer receives each object that is listed or has changed
     * @param <T> the type of the values
     */
    static <T> Listener<T> ofEach(Consumer<Stored<T>> consumer) {
      return new Listener<>() {
        @Override
        public boolean present(Stored<T> object) {
          consumer.accept(object);
          return true;
        }

        @Override
        public boolean removed(Stored<T> object, boolean afterOutage) {
          return true;
        }

        @Override
        public boolean listed(StoreList<T> list, boolean afterOutage) {
          return true;
        }

        @Override
        public void upTo(long revision) {}
      };
    }
  }

  /** The coordinators' view of the store; must not block. */
  interface Relay {

    /** No coordinator watches the store for this daemon. */
    Relay NONE =
        new Relay() {
          @Override
          public boolean isFresh(long now) {
            return false;
          }

          @Override
          public boolean isExpected() {
            return false;
          }

          @Override
          public long revision() {
            return 0;
          }
        };

    /** Returns whether this daemon can rely on the coordinators instead of calling the store. */
    boolean isFresh(long now);

    /** Returns whether coordinators are being elected that will send all objects. */
    boolean isExpected();

    /** Returns the revision of the last change that must be fetched; 0 if there is none. */
    long revision();
  }

  /** Observes the calls of a feed; must not block. */
  interface CallObserver {

    /** Observes nothing. */
    CallObserver NONE = () -> revision -> {};

    /**
     * Called before each call; the returned action gets the newest revision of the objects once the
     * answer has been applied.
     */
    LongConsumer asking();
  }

  /**
   * How often a feed calls the store.
   *
   * @param waitMs the timeout of a watch, in milliseconds; bounds the time until a silent
   *     connection is detected
   * @param pauseMs the pause after a change before the next watch, in milliseconds, so that changes
   *     shortly after one another cost one call
   */
  record Timing(long waitMs, long pauseMs) {}

  /** First pause after a failed call, in milliseconds; doubled up to {@link #MAX_RETRY_MS}. */
  private static final long RETRY_MS = 100;

  /** Longest pause, in milliseconds; bounds the time until a recovered store is detected. */
  private static final long MAX_RETRY_MS = 800;

  /**
   * Failures for this long, in milliseconds, count as an outage. Endpoints write about once a
   * second and expire after three missed writes, so no entry can expire in a shorter gap.
   */
  private static final long OUTAGE_MS = 1_000;

  /** How long a starting feed waits for coordinators that are expected, in milliseconds. */
  private static final long START_WAIT_MS = 3_000;

  /** Time in which all pages of a list arrive also from a slow store, in milliseconds. */
  private static final long LIST_TIMEOUT_MS = 60_000;

  /**
   * Time after which an overdue answer is taken for lost, in milliseconds. Much longer than any
   * call takes beyond its timeout, since a restart of the feed lists all objects.
   */
  private static final long STALL_SLACK_MS = 5_000;

  private static final long NEVER = -1;

  private final MetadataStore store;
  private final StoreKind<T> kind;
  private final Supplier<Timing> timing;
  private final Relay relay;
  private final CallObserver observer;
  private final Listener<T> listener;
  private final ScheduledExecutorService loop;
  private final MillisClock clock;
  private final DecisionLog log;
  private final TaskGuard guard;
  private long revision;
  private volatile View view = new View(0, NEVER, false);
  private boolean paused;
  private long calls;

  /** When the next step of the feed is overdue, in milliseconds. */
  private long dueAt = NEVER;

  private long waitsUntil = NEVER;
  private long failingSince = NEVER;
  private long retryMs = RETRY_MS;

  StoreFeed(
      MetadataStore store,
      StoreKind<T> kind,
      Supplier<Timing> timing,
      Relay relay,
      CallObserver observer,
      Listener<T> listener,
      ScheduledExecutorService loop,
      MillisClock clock,
      DecisionLog log,
      TaskGuard guard) {
    this.store = Objects.requireNonNull(store, "store");
    this.kind = kind;
    this.timing = timing;
    this.relay = relay;
    this.observer = observer;
    this.listener = listener;
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.guard = guard;
  }

  void start() {
    list();
  }

  /**
   * Starts without a list if coordinators are expected: they send all objects to a new daemon, and
   * lists are the most expensive part of a large fleet's first start.
   */
  synchronized void startWithRelay() {
    paused = true;
    waitsUntil = clock.millis() + START_WAIT_MS;
    checkRelay();
  }

  private synchronized void list() {
    LongConsumer onAnswer = observer.asking();
    call(
        LIST_TIMEOUT_MS,
        this::list,
        () -> store.list(kind),
        (list, failure) -> listed(list, failure, onAnswer));
  }

  /**
   * Makes a call and handles its answer. Whatever happens to the answer, the feed calls again: an
   * exception counts as a failed call, and {@link #checkRelay} lists anew if no answer comes.
   */
  private <R> void call(
      long timeoutMs,
      Runnable again,
      Supplier<CompletableFuture<R>> call,
      BiConsumer<R, Throwable> onAnswer) {
    long number = ++calls;
    dueAt = clock.millis() + timeoutMs + STALL_SLACK_MS;
    CompletableFuture<R> answer;
    try {
      answer = call.get();
    } catch (RuntimeException e) {
      answer = CompletableFuture.failedFuture(e);
    }
    answer.whenComplete(
        (result, failure) ->
            loop.execute(
                () -> {
                  if (!guard.run(
                      "feed " + kind.name(), () -> accept(number, result, failure, onAnswer))) {
                    retryAfterError(number, again);
                  }
                }));
  }

  private synchronized <R> void accept(
      long number, R result, Throwable failure, BiConsumer<R, Throwable> onAnswer) {
    if (number == calls) {
      onAnswer.accept(result, failure);
    }
  }

  private synchronized void retryAfterError(long number, Runnable again) {
    if (number == calls) {
      retry(new IllegalStateException("the answer could not be applied"), again);
    }
  }

  private void listed(StoreList<T> list, Throwable failure, LongConsumer onAnswer) {
    if (failure != null) {
      retry(failure, this::list);
      return;
    }
    boolean afterOutage = answered();
    revision = list.revision();
    boolean changed = false;
    for (Stored<T> item : list.items()) {
      changed |= pass(item.name(), () -> listener.present(item));
    }
    changed |= pass("list", () -> listener.listed(list, afterOutage));
    if (changed) {
      recordChange(newestRevision(list));
    }
    applied(onAnswer);
    watchOrPause();
  }

  /** Passes one object to the listener; returns whether that was anything new. */
  private boolean pass(String name, BooleanSupplier call) {
    boolean[] isNew = new boolean[1];
    guard.run("feed " + kind.name() + " " + name, () -> isNew[0] = call.getAsBoolean());
    return isNew[0];
  }

  private void applied(LongConsumer onAnswer) {
    guard.run("feed " + kind.name(), () -> listener.upTo(revision));
    guard.run("feed " + kind.name(), () -> onAnswer.accept(view.changedRevision()));
  }

  /** Watches for changes, or pauses while coordinators do so. */
  private void watchOrPause() {
    if (relay.isFresh(clock.millis())) {
      paused = true;
    } else {
      watch();
    }
  }

  /**
   * Ends a pause when there is a newer revision or too few current coordinators, and starts anew if
   * the answer to a call is overdue; called several times a second.
   */
  synchronized void checkRelay() {
    long now = clock.millis();
    if (!paused) {
      if (dueAt != NEVER && now > dueAt) {
        log.event("store_feed_stalled").with("kind", kind.name()).with("call", calls).write();
        list();
      }
      return;
    }
    boolean fresh = relay.isFresh(now);
    if (fresh) {
      waitsUntil = NEVER;
    }
    boolean waits = now < waitsUntil && relay.isExpected();
    if (relay.revision() > revision || !(fresh || waits)) {
      paused = false;
      waitsUntil = NEVER;
      // No change was missed while coordinators sent them.
      failingSince = failingSince == NEVER ? NEVER : now;
      list();
    }
  }

  /**
   * The state that is reported to others. It is read without the lock: the caller holds another
   * lock, which this feed's listener may need, and would deadlock.
   */
  private record View(long changedRevision, long answeredAt, boolean failing) {}

  /** Returns this daemon's view of the store, for daemons that rely on it. */
  LinkMessage.StoreView view() {
    View known = view;
    boolean current = known.answeredAt() != NEVER && !known.failing();
    return new LinkMessage.StoreView(
        known.changedRevision(), current ? clock.millis() - known.answeredAt() : -1);
  }

  private synchronized void watch() {
    LongConsumer onAnswer = observer.asking();
    long waitMs = timing.get().waitMs();
    call(
        waitMs,
        this::watch,
        () -> store.watch(kind, revision, waitMs),
        (changes, failure) -> watched(changes, failure, onAnswer));
  }

  private void watched(StoreChanges<T> changes, Throwable failure, LongConsumer onAnswer) {
    if (failure != null) {
      if (StoreException.reasonOf(failure) == StoreException.Reason.HISTORY_GONE) {
        log.event("store_history_gone").with("kind", kind.name()).with("after", revision).write();
        list();
      } else {
        retry(failure, this::watch);
      }
      return;
    }
    boolean afterOutage = answered();
    revision = Math.max(revision, changes.revision());
    for (StoreChanges.Change<T> change : changes.changes()) {
      Stored<T> object = change.object();
      BooleanSupplier call =
          change.removed()
              ? () -> listener.removed(object, afterOutage)
              : () -> listener.present(object);
      if (pass(object.name(), call)) {
        recordChange(object.revision());
      }
    }
    applied(onAnswer);
    if (changes.changes().isEmpty()) {
      watchOrPause();
    } else {
      long pauseMs = timing.get().pauseMs();
      dueAt = clock.millis() + pauseMs + STALL_SLACK_MS;
      long number = calls;
      loop.schedule(() -> resume(number), pauseMs, TimeUnit.MILLISECONDS);
    }
  }

  private synchronized void resume(long after) {
    if (after == calls) {
      watchOrPause();
    }
  }

  /** Repeats a failed call, unless coordinators have what it would return. */
  private synchronized void repeat(long failed, Runnable call) {
    if (failed != calls) {
      return;
    }
    if (relay.isFresh(clock.millis()) && relay.revision() <= revision) {
      paused = true;
    } else {
      call.run();
    }
  }

  private static long newestRevision(StoreList<?> list) {
    return list.items().stream().mapToLong(Stored::revision).max().orElse(0);
  }

  /**
   * Records the revision of a changed object. The revision of the whole store grows with every
   * write; with it, two feeds that rely on each other would list for ever.
   */
  private void recordChange(long changedRevision) {
    long newest = Math.max(view.changedRevision(), changedRevision);
    view = new View(newest, view.answeredAt(), view.failing());
  }

  private boolean answered() {
    long now = clock.millis();
    view = new View(view.changedRevision(), now, false);
    boolean afterOutage = failingSince != NEVER && now - failingSince >= OUTAGE_MS;
    if (failingSince != NEVER) {
      log.event("store_back").with("kind", kind.name()).with("away_ms", now - failingSince).write();
    }
    failingSince = NEVER;
    retryMs = RETRY_MS;
    return afterOutage;
  }

  private void retry(Throwable failure, Runnable call) {
    if (failingSince == NEVER) {
      view = new View(view.changedRevision(), view.answeredAt(), true);
      failingSince = clock.millis();
      log.event("store_lost")
          .with("kind", kind.name())
          .with("reason", StoreException.reasonOf(failure).name())
          .with("message", String.valueOf(failure.getMessage()))
          .write();
    }
    dueAt = clock.millis() + retryMs + STALL_SLACK_MS;
    long failed = calls;
    loop.schedule(() -> repeat(failed, call), retryMs, TimeUnit.MILLISECONDS);
    retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
  }
}
