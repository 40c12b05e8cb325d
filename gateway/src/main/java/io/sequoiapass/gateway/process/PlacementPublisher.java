package io.sequoiapass.gateway.process;

import io.sequoiapass.daemon.connection.FrameChannel;
import io.sequoiapass.gateway.connection.LinkFrames;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Publishes what the engines of a coordinator hold.
 *
 * <p>Daemons that have subscribed to an adapter and other coordinators are notified immediately;
 * other daemons get the next batch. Sending every change to all would take 140 frames a second to
 * each of 79 daemons, most of their work.
 *
 * <p>The first subscriber of an adapter that is being loaded is told when it is expected, all
 * others a little later: if the engine rejects the first request, the others learn of it before
 * they send theirs. Guarded by the lock of the {@link Coordinator}.
 */
final class PlacementPublisher {

  private final Map<FrameChannel, LinkedDaemon> links;
  private final AdapterSubscribers subscribers = new AdapterSubscribers();
  private final PlacementUpdateBatch batch = new PlacementUpdateBatch();

  PlacementPublisher(Map<FrameChannel, LinkedDaemon> links) {
    this.links = links;
  }

  /** Discards the updates of an earlier term. */
  void activated() {
    batch.clear();
  }

  /** Subscribes a daemon to an adapter. */
  void subscribe(AdapterName adapter, FrameChannel daemon, long now) {
    subscribers.subscribe(adapter, daemon, now);
  }

  /** Returns the daemons that have subscribed to an adapter. */
  Set<FrameChannel> subscribersOf(AdapterName adapter) {
    return subscribers.subscribersOf(adapter);
  }

  /** Removes a daemon whose link has closed. */
  void unlinked(FrameChannel daemon) {
    subscribers.unsubscribe(daemon);
  }

  /** Queues the batch for all daemons. */
  void queue(long now) {
    List<LinkMessage.Placement> changes = batch.drain(now);
    if (!changes.isEmpty()) {
      byte[] frame = LinkFrames.encode(new LinkMessage.Placements(false, changes));
      links.keySet().forEach(channel -> channel.queue(frame));
    }
    subscribers.expire(now);
  }

  /** Publishes changes. */
  void publish(List<LinkMessage.Placement> changes, long now) {
    if (changes.isEmpty()) {
      return;
    }
    boolean toAll = BroadcastInterval.broadcastsImmediately(links.size());
    if (!toAll) {
      batch.add(changes.stream().map(PlacementPublisher::afterCanary).toList(), now);
    }
    links.forEach(
        (channel, linked) -> {
          // Otherwise coordinators of other data centres would load the same adapters.
          boolean wantsAll = toAll || linked.coordinates;
          List<LinkMessage.Placement> update =
              update(
                  changes,
                  adapter -> wantsAll || subscribers.contains(adapter, channel),
                  adapter -> subscribers.isFirst(adapter, channel));
          if (!update.isEmpty()) {
            channel.send(LinkFrames.encode(new LinkMessage.Placements(false, update)));
          }
        });
  }

  /**
   * Returns what one daemon is told.
   *
   * @param changes the changes
   * @param wanted the adapters of which it is notified
   * @param first the adapters of which it is the first subscriber
   */
  static List<LinkMessage.Placement> update(
      List<LinkMessage.Placement> changes,
      Predicate<AdapterName> wanted,
      Predicate<AdapterName> first) {
    return changes.stream()
        .filter(change -> wanted.test(change.adapter()))
        .map(change -> first.test(change.adapter()) ? change : afterCanary(change))
        .toList();
  }

  private static LinkMessage.Placement afterCanary(LinkMessage.Placement placement) {
    return placement.readyInMs() <= 0
        ? placement
        : new LinkMessage.Placement(
            placement.endpoint(),
            placement.adapter(),
            placement.version(),
            placement.readyInMs() + CanaryRequests.REJECTION_MS);
  }
}
