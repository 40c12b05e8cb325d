package io.sequoiapass.gateway.process;

import io.sequoiapass.daemon.connection.FrameChannel;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Daemons to notify as soon as an adapter becomes available.
 *
 * <p>Not safe for use by several threads.
 */
final class AdapterSubscribers {

  /** Time after which a subscription expires, in milliseconds. */
  private static final long SUBSCRIPTION_TTL_MS = 6_000;

  private final Map<AdapterName, Subscription> subscriptions = new HashMap<>();

  private static final class Subscription {
    private final Set<FrameChannel> daemons = new LinkedHashSet<>();
    private long lastAt;
  }

  /** Subscribes a daemon to an adapter. */
  void subscribe(AdapterName adapter, FrameChannel daemon, long now) {
    Subscription known = subscriptions.computeIfAbsent(adapter, any -> new Subscription());
    known.daemons.add(daemon);
    known.lastAt = now;
  }

  /** Returns the daemons to notify. */
  Set<FrameChannel> subscribersOf(AdapterName adapter) {
    Subscription known = subscriptions.get(adapter);
    return known == null ? Set.of() : known.daemons;
  }

  /** Returns whether a daemon has subscribed to an adapter. */
  boolean contains(AdapterName adapter, FrameChannel daemon) {
    return subscribersOf(adapter).contains(daemon);
  }

  /** Returns whether a daemon was the first of those that have subscribed to an adapter. */
  boolean isFirst(AdapterName adapter, FrameChannel daemon) {
    Set<FrameChannel> daemons = subscribersOf(adapter);
    return !daemons.isEmpty() && daemons.iterator().next().equals(daemon);
  }

  /** Removes a daemon whose link has closed. */
  void unsubscribe(FrameChannel daemon) {
    subscriptions.values().forEach(known -> known.daemons.remove(daemon));
  }

  /** Removes expired subscriptions. */
  void expire(long now) {
    subscriptions.values().removeIf(known -> now - known.lastAt > SUBSCRIPTION_TTL_MS);
  }
}
