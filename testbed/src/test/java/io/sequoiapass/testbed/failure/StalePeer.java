package io.sequoiapass.testbed.failure;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.HostId;
import io.sequoiapass.daemon.connection.peer.PeerChannel;
import io.sequoiapass.daemon.connection.peer.PeerListener;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import io.sequoiapass.daemon.connection.peer.PeerTransport;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Connects to a daemon as a peer and pushes the objects given by a test. Not thread-safe. */
final class StalePeer implements AutoCloseable {

  private static final long CONNECT_LIMIT_MS = 5_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final CompletableFuture<PeerChannel> connected = new CompletableFuture<>();

  static StalePeer connect(InetSocketAddress daemon, String name, String dataCentre)
      throws Exception {
    StalePeer peer = new StalePeer();
    PeerTransport.create(peer.group, new MetricRegistry()).connect(daemon, peer.new Listener());
    peer.channel()
        .send(
            new PeerMessage.Hello(
                new DaemonId(name), new DataCentreId(dataCentre), new HostId("host-" + name), 1));
    return peer;
  }

  private PeerChannel channel() throws Exception {
    return connected.get(CONNECT_LIMIT_MS, TimeUnit.MILLISECONDS);
  }

  /** Pushes an object in the platform's JSON form. */
  void push(String object) throws Exception {
    channel().send(new PeerMessage.ObjectsPush(List.of(object), false, true, List.of()));
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private final class Listener implements PeerListener {

    @Override
    public void opened(PeerChannel channel) {
      connected.complete(channel);
    }

    @Override
    public void received(PeerChannel channel, PeerMessage message) {
      // The daemon's replies are irrelevant to the tests.
    }

    @Override
    public void writabilityChanged(PeerChannel channel) {
      // Too little is written for backpressure.
    }

    @Override
    public void closed(PeerChannel channel) {
      connected.completeExceptionally(new IllegalStateException("connection closed"));
    }
  }
}
