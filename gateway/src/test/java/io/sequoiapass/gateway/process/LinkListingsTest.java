package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.daemon.connection.FrameChannel;
import io.sequoiapass.daemon.connection.FrameListener;
import io.sequoiapass.daemon.connection.FrameTransport;
import io.sequoiapass.daemon.connection.SocketTransport;
import io.sequoiapass.gateway.connection.LinkFrames;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.spi.StoreList;
import io.sequoiapass.gateway.version.AdapterVersions;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Links two daemons to a coordinator whose network link carries one listing in minutes. */
class LinkListingsTest {

  private static final long WAIT_MS = 20_000;
  private static final long LINK_BYTES_PER_S = 4;
  private static final long MUCH_LATER_MS = 3_600_000;
  private static final DataCentreId HERE = new DataCentreId("north");
  private static final LinkMessage.StoreView VIEW = new LinkMessage.StoreView(7, 10);

  private final EventLoopGroup loops = SocketTransport.best().group(1);
  private final AdapterVersions versions = new AdapterVersions(2_500);
  private final EndpointDirectory directory =
      new EndpointDirectory(HERE, versions, () -> 0, DecisionLog.silent());
  private final Map<FrameChannel, LinkedDaemon> links = new LinkedHashMap<>();
  private final LinkListings listings =
      new LinkListings(
          links,
          LINK_BYTES_PER_S,
          directory,
          new PlacementPlan(
              versions, new ModelLoadLimiter(() -> 5_000, 1), new LoadTime(directory)),
          new Coordinator.Io(
              null,
              null,
              null,
              () -> 0,
              DecisionLog.silent(),
              versions,
              null,
              new GatewayMetrics()),
          LinkListingsTest::status);
  private final Daemon first = new Daemon();
  private final Daemon second = new Daemon();

  /** A daemon that keeps what it receives. */
  private static final class Daemon implements FrameListener {
    private final BlockingQueue<LinkMessage> received = new LinkedBlockingQueue<>();

    @Override
    public void opened(FrameChannel channel) {}

    @Override
    public void received(FrameChannel channel, byte[] frame) throws LinkFrames.FormatException {
      received.add(LinkFrames.decode(frame));
    }

    @Override
    public void closed(FrameChannel channel) {}

    private LinkMessage next() throws InterruptedException {
      LinkMessage next = received.poll(WAIT_MS, TimeUnit.MILLISECONDS);
      assertThat(next).as("message in %d ms", WAIT_MS).isNotNull();
      return next;
    }

    private void assertListed() throws InterruptedException {
      assertThat(next()).isInstanceOf(LinkMessage.Endpoints.class);
      assertThat(next()).isInstanceOf(LinkMessage.Releases.class);
      assertStatus(VIEW);
      assertThat(next()).isInstanceOf(LinkMessage.Placements.class);
    }

    private void assertStatus(LinkMessage.StoreView view) throws InterruptedException {
      LinkMessage.CoordinatorStatus status = (LinkMessage.CoordinatorStatus) next();
      assertThat(status.configuration()).isEqualTo(VIEW);
      assertThat(List.of(status.releases(), status.endpoints())).containsOnly(view);
    }
  }

  private static LinkMessage.CoordinatorStatus status(DaemonView view) {
    return new LinkMessage.CoordinatorStatus(
        2,
        9,
        2,
        false,
        view.of(StoreFreshness.Topic.CONFIGURATION),
        view.of(StoreFreshness.Topic.RELEASES),
        view.of(StoreFreshness.Topic.ENDPOINTS),
        new LoadTimeEstimates(310, 28, 102),
        false,
        List.of(),
        true,
        List.of());
  }

  @BeforeEach
  void link() throws Exception {
    directory.listed(new StoreList<>(5, List.of()), false);
    listings.use(
        new DaemonView() {
          @Override
          public LinkMessage.StoreView of(StoreFreshness.Topic topic) {
            return VIEW;
          }

          @Override
          public List<LinkMessage.CoordinatorAddress> coordinators() {
            return List.of();
          }
        });
    listings.activated(false);
    FrameTransport transport = FrameTransport.create(loops);
    InetAddress loopback = InetAddress.getLoopbackAddress();
    BlockingQueue<FrameChannel> accepted = new LinkedBlockingQueue<>();
    int port =
        transport.listen(
            new InetSocketAddress(loopback, 0),
            () ->
                new FrameListener() {
                  @Override
                  public void opened(FrameChannel channel) {
                    accepted.add(channel);
                  }

                  @Override
                  public void received(FrameChannel channel, byte[] frame) {}

                  @Override
                  public void closed(FrameChannel channel) {}
                });
    for (Daemon daemon : List.of(first, second)) {
      transport.connect(new InetSocketAddress(loopback, port), daemon);
      FrameChannel channel = accepted.poll(WAIT_MS, TimeUnit.MILLISECONDS);
      LinkedDaemon linked = new LinkedDaemon(channel);
      linked.daemon = new DaemonId("north-" + links.size());
      linked.endpointsRevision = EndpointDirectory.UNLISTED;
      links.put(channel, linked);
      listings.linked(channel, 0);
    }
  }

  @AfterEach
  void stop() {
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Guards against a daemon that relies on lists which it has not received. */
  @Test
  void daemonReliesOnNoListBeforeItHasIt() throws InterruptedException {
    first.assertListed();
    second.assertStatus(LinkMessage.StoreView.NONE);

    listings.queueUpdates(new LinkMessage.Endpoints(false, 8, List.of(), List.of()));
    listings.queueStatus();
    links.keySet().forEach(FrameChannel::flush);
    assertThat(first.next()).isInstanceOf(LinkMessage.Endpoints.class);
    first.assertStatus(VIEW);
    second.assertStatus(LinkMessage.StoreView.NONE);

    listings.tick(MUCH_LATER_MS);
    second.assertListed();
    listings.queueStatus();
    links.keySet().forEach(FrameChannel::flush);
    second.assertStatus(VIEW);
  }
}
