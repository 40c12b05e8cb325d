package io.sequoiapass.gateway.process;

import io.sequoiapass.daemon.connection.FrameChannel;
import io.sequoiapass.gateway.connection.LinkFrames;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.version.AdapterVersions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Sends the daemons linked to a coordinator their first listings, and until then a status that
 * vouches for nothing of what the listing contains. Guarded by the lock of the {@link Coordinator}.
 */
final class LinkListings {

  private static final String WAITING_BYTES = "sequoiapass_link_bytes_waiting";

  private final Map<FrameChannel, LinkedDaemon> links;
  private final EndpointDirectory directory;
  private final AdapterVersions versions;
  private final PlacementPlan plan;
  private final Function<DaemonView, LinkMessage.CoordinatorStatus> status;
  private final DecisionLog log;
  private final GatewayMetrics metrics;
  private final FirstListings<FrameChannel> listings;
  private DaemonView view = DaemonView.NONE;
  private byte[] releases;

  /**
   * Creates an instance without links.
   *
   * @param links the linked daemons
   * @param linkBytesPerS rate of the host's network link, in bytes a second
   * @param directory the endpoints
   * @param plan the coordinator's plan
   * @param io log, versions and counters
   * @param status returns the status for daemons that may rely on a view
   */
  LinkListings(
      Map<FrameChannel, LinkedDaemon> links,
      long linkBytesPerS,
      EndpointDirectory directory,
      PlacementPlan plan,
      Coordinator.Io io,
      Function<DaemonView, LinkMessage.CoordinatorStatus> status) {
    this.links = links;
    this.directory = directory;
    this.versions = io.versions();
    this.plan = plan;
    this.status = status;
    this.log = io.log();
    this.metrics = io.metrics();
    this.listings = new FirstListings<>(linkBytesPerS);
  }

  /** Sets what this daemon knows of the store and of other coordinators. */
  void use(DaemonView daemonView) {
    view = daemonView;
  }

  /** Starts a term; see {@link FirstListings#activated}. */
  void activated(boolean isFirst) {
    listings.activated(isFirst);
    releases = null;
  }

  /** Ends a term: nothing waits to be sent. */
  void deactivated() {
    metrics.set(WAITING_BYTES, 0);
  }

  /** Handles a new version of an adapter. */
  void released() {
    releases = null;
  }

  /** Handles the introduction of a daemon. */
  void linked(FrameChannel channel, long now) {
    listings.add(channel, now);
    sendDue(now);
    if (listings.isWaiting(channel)) {
      channel.send(unlistedStatus());
    }
  }

  /** Removes a link that has closed. */
  void unlinked(FrameChannel channel) {
    listings.remove(channel);
  }

  /** Sends the listings that are due; called several times a second. */
  void tick(long now) {
    if (directory.isListed()) {
      links.forEach(
          (channel, linked) -> {
            if (!linked.hasEndpoints && linked.daemon != null) {
              listings.add(channel, now);
            }
          });
    }
    sendDue(now);
  }

  private void sendDue(long now) {
    long waitingBytes = links.keySet().stream().mapToLong(FrameChannel::unsentBytes).sum();
    metrics.set(WAITING_BYTES, waitingBytes);
    Optional<FrameChannel> due = listings.next(waitingBytes, now);
    while (due.isPresent()) {
      listings.sent(send(due.get(), links.get(due.get()), now), now);
      due = listings.next(waitingBytes, now);
    }
    listings.ended(now).filter(series -> series.links() > 1).ifPresent(this::logSeries);
  }

  private void logSeries(FirstListings.Series series) {
    log.event("links_listed")
        .with("links", series.links())
        .with("bytes", series.bytes())
        .with("lasted_ms", series.lastedMs())
        .with("waiting_bytes", series.mostWaitingBytes())
        .write();
  }

  /** Sends what a daemon lacks, and returns its size in bytes. */
  private long send(FrameChannel channel, LinkedDaemon linked, long now) {
    List<byte[]> frames = new ArrayList<>();
    // Waits until this daemon knows the whole list: a daemon takes a snapshot for that.
    if (!linked.hasEndpoints && directory.isListed()) {
      linked.hasEndpoints = true;
      frames.add(LinkFrames.encode(directory.entriesSince(linked.endpointsRevision)));
    }
    boolean isFirst = !linked.hasPlacements;
    if (isFirst) {
      frames.add(releases());
    }
    // Releases precede the status, which reports the revision up to which they are complete.
    frames.add(LinkFrames.encode(status.apply(view)));
    if (isFirst) {
      linked.hasPlacements = true;
      frames.add(LinkFrames.encode(new LinkMessage.Placements(true, plan.snapshot(now))));
    }
    frames.forEach(channel::queue);
    channel.flush();
    return frames.stream().mapToLong(frame -> frame.length).sum();
  }

  /** All daemons get the same list, which is encoded anew after a release. */
  private byte[] releases() {
    if (releases == null) {
      List<LinkMessage.Release> all = new ArrayList<>();
      versions
          .all()
          .forEach((adapter, version) -> all.add(new LinkMessage.Release(adapter, version)));
      releases = LinkFrames.encode(new LinkMessage.Releases(all));
    }
    return releases;
  }

  /** Queues the status for all daemons. */
  void queueStatus() {
    byte[] whole = LinkFrames.encode(status.apply(view));
    byte[] unlisted = null;
    for (Map.Entry<FrameChannel, LinkedDaemon> link : links.entrySet()) {
      FrameChannel channel = link.getKey();
      if (link.getValue().hasPlacements && !listings.isWaiting(channel)) {
        channel.queue(whole);
      } else {
        unlisted = unlisted == null ? unlistedStatus() : unlisted;
        channel.queue(unlisted);
      }
    }
  }

  private byte[] unlistedStatus() {
    return LinkFrames.encode(status.apply(new Unlisted(view)));
  }

  /** Queues changes of the endpoint list; later listings contain them. */
  void queueUpdates(LinkMessage.Endpoints updates) {
    byte[] frame = LinkFrames.encode(updates);
    links.forEach(
        (channel, linked) -> {
          if (linked.hasEndpoints) {
            channel.queue(frame);
          }
        });
  }

  /** The view for a daemon without its first listing. */
  private record Unlisted(DaemonView all) implements DaemonView {

    @Override
    public LinkMessage.StoreView of(StoreFreshness.Topic topic) {
      return topic == StoreFreshness.Topic.CONFIGURATION
          ? all.of(topic)
          : LinkMessage.StoreView.NONE;
    }

    @Override
    public List<LinkMessage.CoordinatorAddress> coordinators() {
      return all.coordinators();
    }
  }
}
