package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.spi.MetadataStore;
import io.sequoiapass.gateway.spi.StoreKind;
import io.sequoiapass.gateway.spi.Stored;
import io.sequoiapass.gateway.version.AdapterRelease;
import io.sequoiapass.gateway.version.ServingConfiguration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * The feeds of one daemon: what it reads of the store, and how often.
 *
 * <p>Safe for use by several threads.
 */
final class StoreFeeds {

  /**
   * Endpoints write about once a second and serve for two seconds after they started to leave, so
   * one call a second is enough; each call is billed, and a shorter pause would cost more calls.
   */
  private static final StoreFeed.Timing ENDPOINT_TIMING = new StoreFeed.Timing(2_500, 1_000);

  /** Changes of the configuration must take effect within about two seconds. */
  private static final StoreFeed.Timing CONFIGURATION_TIMING = new StoreFeed.Timing(2_500, 50);

  /**
   * Timing where a removed API key must not be accepted for longer than a few seconds: an answer
   * proves only that the configuration was in force when the call was sent.
   */
  private static final StoreFeed.Timing STRICT_CONFIGURATION_TIMING =
      new StoreFeed.Timing(1_000, 50);

  /** New adapter versions must take effect within about five seconds. */
  private static final StoreFeed.Timing RELEASE_TIMING = new StoreFeed.Timing(4_000, 300);

  /**
   * Timing of a coordinator, on whose view other daemons rely while it is fresh. With one call a
   * second and a status every 450 ms the view would be up to 1.9 s old, more than daemons accept,
   * and all of them would call the store themselves.
   */
  private static final Map<StoreFreshness.Topic, StoreFeed.Timing> COORDINATOR_TIMING =
      Map.of(
          StoreFreshness.Topic.ENDPOINTS, new StoreFeed.Timing(600, 600),
          StoreFreshness.Topic.CONFIGURATION, new StoreFeed.Timing(700, 50),
          StoreFreshness.Topic.RELEASES, new StoreFeed.Timing(2_000, 300));

  private final Map<StoreFreshness.Topic, StoreFeed<?>> feeds = new ConcurrentHashMap<>();
  private final Function<StoreFreshness.Topic, StoreFeed.Relay> relays;
  private final Supplier<Boolean> isCoordinator;
  private final ScheduledExecutorService loop;
  private final MillisClock clock;
  private final DecisionLog log;
  private final TaskGuard guard;

  /**
   * Creates it without feeds.
   *
   * @param relays the coordinators' view of each kind of objects
   * @param isCoordinator whether this daemon coordinates its data centre
   * @param loop runs callbacks and timers
   * @param clock the monotonic clock
   * @param log the log
   * @param guard keeps an error of one object from the others
   */
  StoreFeeds(
      Function<StoreFreshness.Topic, StoreFeed.Relay> relays,
      Supplier<Boolean> isCoordinator,
      ScheduledExecutorService loop,
      MillisClock clock,
      DecisionLog log,
      TaskGuard guard) {
    this.relays = relays;
    this.isCoordinator = isCoordinator;
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.guard = guard;
  }

  /**
   * Starts the feed of configurations, at once: no coordinator sends them.
   *
   * @param store the store
   * @param strict whether removed API keys must be rejected within a few seconds
   * @param observer observes the calls
   * @param consumer receives each configuration
   */
  void startConfigurations(
      MetadataStore store,
      boolean strict,
      StoreFeed.CallObserver observer,
      Consumer<Stored<ServingConfiguration>> consumer) {
    feed(
            store,
            StoreKind.CONFIGURATION,
            strict ? STRICT_CONFIGURATION_TIMING : CONFIGURATION_TIMING,
            StoreFreshness.Topic.CONFIGURATION,
            observer,
            StoreFeed.Listener.ofEach(consumer))
        .start();
  }

  /** Starts the feed of endpoints. */
  void startEndpoints(MetadataStore store, StoreFeed.Listener<EndpointEntry> listener) {
    feed(
            store,
            StoreKind.ENDPOINTS,
            ENDPOINT_TIMING,
            StoreFreshness.Topic.ENDPOINTS,
            StoreFeed.CallObserver.NONE,
            listener)
        .startWithRelay();
  }

  /** Starts the feed of releases. */
  void startReleases(MetadataStore store, Consumer<Stored<AdapterRelease>> consumer) {
    feed(
            store,
            StoreKind.RELEASES,
            RELEASE_TIMING,
            StoreFreshness.Topic.RELEASES,
            StoreFeed.CallObserver.NONE,
            StoreFeed.Listener.ofEach(consumer))
        .startWithRelay();
  }

  private <T> StoreFeed<T> feed(
      MetadataStore store,
      StoreKind<T> kind,
      StoreFeed.Timing timing,
      StoreFreshness.Topic topic,
      StoreFeed.CallObserver observer,
      StoreFeed.Listener<T> listener) {
    StoreFeed<T> feed =
        new StoreFeed<>(
            store,
            kind,
            () -> isCoordinator.get() ? COORDINATOR_TIMING.get(topic) : timing,
            relays.apply(topic),
            observer,
            listener,
            loop,
            clock,
            log,
            guard);
    feeds.put(topic, feed);
    return feed;
  }

  /** Lets each feed check what coordinators report; called several times a second. */
  void check() {
    feeds.forEach((topic, feed) -> guard.run("feed " + topic, feed::checkRelay));
  }

  /** Returns this daemon's view of a kind of objects, for daemons that rely on it. */
  LinkMessage.StoreView view(StoreFreshness.Topic topic) {
    StoreFeed<?> feed = feeds.get(topic);
    return feed == null ? LinkMessage.StoreView.NONE : feed.view();
  }

  /** Returns whether a kind of objects is known as it stands now, from the store or by relay. */
  boolean isCurrent(StoreFreshness.Topic topic) {
    StoreFeed<?> feed = feeds.get(topic);
    if (feed == null) {
      return false;
    }
    long ageMs = feed.view().ageMs();
    return (ageMs >= 0 && ageMs <= SoftwareHistory.MAX_GAP_MS)
        || relays.apply(topic).isFresh(clock.millis());
  }
}
