package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.process.PeerSelection;
import io.sequoiapass.daemon.connection.FrameChannel;
import io.sequoiapass.gateway.connection.LinkFrames;
import io.sequoiapass.gateway.connection.LinkMessage;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Names the daemons linked to a coordinator the peers that can serve their requests. Guarded by the
 * lock of the {@link Coordinator}.
 */
final class PeerOffers {

  private final PeerSelection selection = new PeerSelection(new Random());

  /**
   * Records whether a daemon can serve others; one that cannot may need peers itself.
   *
   * @param links the linked daemons
   * @param channel the daemon's link
   * @param linked the daemon
   * @param servesPeers whether it can serve others
   */
  void reported(
      Collection<LinkedDaemon> links,
      FrameChannel channel,
      LinkedDaemon linked,
      boolean servesPeers) {
    linked.servesPeers = servesPeers;
    if (!servesPeers) {
      send(links, channel, linked);
    }
  }

  /**
   * Sends peers to a daemon that was linked, so that it knows some if its path and its coordinators
   * are lost together.
   *
   * @param links the linked daemons
   * @param channel the daemon's link
   * @param linked the daemon
   * @param address where it accepts requests of other daemons
   */
  void linked(
      Collection<LinkedDaemon> links,
      FrameChannel channel,
      LinkedDaemon linked,
      InetSocketAddress address) {
    linked.peerAddress = address;
    send(links, channel, linked);
  }

  private void send(Collection<LinkedDaemon> links, FrameChannel channel, LinkedDaemon linked) {
    Map<String, LinkedDaemon> known =
        links.stream()
            .filter(other -> other.daemon != null)
            .collect(
                Collectors.toMap(other -> other.daemon.value(), Function.identity(), (a, b) -> b));
    List<LinkMessage.Peer> peers =
        selection
            .select(member(linked), known.values().stream().map(PeerOffers::member).toList())
            .stream()
            .map(daemon -> new LinkMessage.Peer(daemon, known.get(daemon.value()).peerAddress))
            .toList();
    channel.send(LinkFrames.encode(new LinkMessage.Peers(peers)));
  }

  private static PeerSelection.Member member(LinkedDaemon linked) {
    return new PeerSelection.Member(linked.daemon, linked.dataCentre, linked.servesPeers);
  }
}
