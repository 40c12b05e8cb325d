package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.process.PermitAllocator;
import io.sequoiapass.daemon.connection.FrameChannel;
import io.sequoiapass.gateway.connection.LinkFrames;
import io.sequoiapass.gateway.connection.LinkMessage;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;

/**
 * Answers the daemons that ask a coordinator for permits. Guarded by the lock of the {@link
 * Coordinator}.
 */
final class PermitGrants {

  private final PermitAllocator allocator = new PermitAllocator();
  private final LongPredicate mayGrant;

  /**
   * Creates the grants of a coordinator.
   *
   * @param mayGrant whether no other coordinator grants permits at a time, in milliseconds
   */
  PermitGrants(LongPredicate mayGrant) {
    this.mayGrant = mayGrant;
  }

  /**
   * Queues a daemon for a permit, or refuses it.
   *
   * @param links the linked daemons
   * @param channel the asking daemon's link
   * @param request what it asks for
   * @param now the time, in milliseconds
   */
  void ask(
      Map<FrameChannel, LinkedDaemon> links,
      FrameChannel channel,
      LinkMessage.PermitRequest request,
      long now) {
    EndpointId endpoint = request.endpoint();
    if (!mayGrant.test(now)) {
      reply(channel, endpoint, LinkMessage.PermitReply.Type.REFUSED, 0);
      return;
    }
    DaemonId daemon = links.get(channel).daemon;
    long waitMs = allocator.ask(daemon, endpoint, request.requestsPerS(), request.usefulMs(), now);
    reply(channel, endpoint, LinkMessage.PermitReply.Type.QUEUED, waitMs);
    send(allocator.grant(endpoint, now), links);
  }

  /** Sends the permits that are due; called several times a second. */
  void grant(Map<FrameChannel, LinkedDaemon> links, long now) {
    if (mayGrant.test(now)) {
      send(allocator.grant(now), links);
    } else {
      allocator.clear();
    }
  }

  private static void send(
      List<PermitAllocator.Grant> grants, Map<FrameChannel, LinkedDaemon> links) {
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
