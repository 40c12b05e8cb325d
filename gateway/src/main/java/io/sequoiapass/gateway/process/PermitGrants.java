package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.process.PermitAllocator;
import io.sequoiapass.daemon.connection.FrameChannel;
import io.sequoiapass.gateway.connection.LinkFrames;
import io.sequoiapass.gateway.connection.LinkMessage;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;

/**
 * Answers the daemons that ask a coordinator for permits. Guarded by the lock of the {@link
 * Coordinator}.
 */
final class PermitGrants {

  /** Shortest time between two scheduled grants, in milliseconds. */
  private static final long MIN_DELAY_MS = 10;

  private final PermitAllocator allocator = new PermitAllocator();
  private final Object lock;
  private final Map<FrameChannel, LinkedDaemon> links;
  private final LongPredicate mayGrant;
  private final ScheduledExecutorService loop;
  private final MillisClock clock;
  private boolean scheduled;

  /**
   * Creates the grants of a coordinator.
   *
   * @param lock the lock of the coordinator
   * @param links the linked daemons
   * @param mayGrant whether no other coordinator grants permits at a time, in milliseconds
   * @param loop runs timers
   * @param clock the monotonic clock
   */
  PermitGrants(
      Object lock,
      Map<FrameChannel, LinkedDaemon> links,
      LongPredicate mayGrant,
      ScheduledExecutorService loop,
      MillisClock clock) {
    this.lock = lock;
    this.links = links;
    this.mayGrant = mayGrant;
    this.loop = loop;
    this.clock = clock;
  }

  /**
   * Queues a daemon for a permit, or refuses it.
   *
   * @param channel the asking daemon's link
   * @param request what it asks for
   * @param now the time, in milliseconds
   */
  void ask(FrameChannel channel, LinkMessage.PermitRequest request, long now) {
    EndpointId endpoint = request.endpoint();
    if (!mayGrant.test(now)) {
      reply(channel, endpoint, LinkMessage.PermitReply.Type.REFUSED, 0);
      return;
    }
    DaemonId daemon = links.get(channel).daemon;
    long waitMs =
        allocator.ask(
            daemon,
            endpoint,
            request.requestsPerS(),
            request.mostAtOnce(),
            request.usefulMs(),
            now);
    reply(channel, endpoint, LinkMessage.PermitReply.Type.QUEUED, waitMs);
    send(allocator.grant(endpoint, now));
    scheduleNext();
  }

  /** Sends the permits that are due; called several times a second. */
  void grant(long now) {
    if (mayGrant.test(now)) {
      send(allocator.grant(now));
      scheduleNext();
    } else {
      allocator.clear();
    }
  }

  /** Grants at the moment a permit is due: those of many a second would wait for a round. */
  private void scheduleNext() {
    OptionalLong nextMs = allocator.nextGrantMs();
    if (!scheduled && nextMs.isPresent()) {
      scheduled = true;
      loop.schedule(
          this::grantScheduled, Math.max(MIN_DELAY_MS, nextMs.getAsLong()), TimeUnit.MILLISECONDS);
    }
  }

  private void grantScheduled() {
    synchronized (lock) {
      scheduled = false;
      grant(clock.millis());
    }
  }

  private void send(List<PermitAllocator.Grant> grants) {
    for (PermitAllocator.Grant grant : grants) {
      links.forEach(
          (channel, linked) -> {
            if (grant.daemon().equals(linked.daemon)) {
              LinkMessage.PermitReply.Type granted = LinkMessage.PermitReply.Type.GRANTED;
              reply(channel, grant.endpoint(), granted, grant.gapMs());
            }
          });
    }
  }

  private static void reply(
      FrameChannel channel, EndpointId endpoint, LinkMessage.PermitReply.Type type, long waitMs) {
    channel.send(LinkFrames.encode(new LinkMessage.PermitReply(endpoint, type, waitMs)));
  }

  /** Removes a daemon whose link has closed. */
  void remove(DaemonId daemon) {
    allocator.remove(daemon);
  }

  /** Forgets all asks, since this coordinator starts or stops. */
  void clear() {
    allocator.clear();
  }
}
