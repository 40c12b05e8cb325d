package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.daemon.connection.FrameChannel;
import io.sequoiapass.daemon.connection.FrameListener;
import io.sequoiapass.daemon.connection.FrameTransport;
import io.sequoiapass.daemon.connection.SocketTransport;
import io.sequoiapass.gateway.connection.LinkFrames;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.spi.CoordinatorLease;
import io.sequoiapass.gateway.spi.MetadataStore;
import io.sequoiapass.gateway.spi.StoreChanges;
import io.sequoiapass.gateway.spi.StoreKind;
import io.sequoiapass.gateway.spi.StoreList;
import io.sequoiapass.gateway.spi.Stored;
import io.sequoiapass.gateway.spi.WriteResult;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against crashes of which other regions learn nothing. */
class RegionRelayTest {

  private static final DataCentreId AWAY = new DataCentreId("away");
  private static final long WAIT_MS = 20_000;
  private static final InetSocketAddress ANY =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

  private final EventLoopGroup loops = SocketTransport.best().group(1);
  private final FrameTransport transport = FrameTransport.create(loops);
  private final BlockingQueue<LinkMessage> received = new LinkedBlockingQueue<>();
  private final BlockingQueue<FrameChannel> rejected = new LinkedBlockingQueue<>();
  private final LeaseStore store = new LeaseStore();

  @AfterEach
  void stop() {
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** A store that has the lease of one coordinator. */
  private static final class LeaseStore implements MetadataStore {
    private final BlockingQueue<StoreKind<?>> reads = new LinkedBlockingQueue<>();
    private volatile InetSocketAddress address;

    @Override
    @SuppressWarnings("unchecked")
    public <T> CompletableFuture<StoreList<T>> list(StoreKind<T> kind) {
      CoordinatorLease lease =
          new CoordinatorLease(new DaemonId("far"), "far-1", address, 1, 1, false);
      Stored<T> item = new Stored<>(AWAY.value(), 1, Optional.of((T) lease), "");
      reads.add(kind);
      return CompletableFuture.completedFuture(new StoreList<>(1, List.of(item)));
    }

    @Override
    public <T> CompletableFuture<StoreChanges<T>> watch(
        StoreKind<T> kind, long after, long waitMs) {
      return new CompletableFuture<>();
    }

    @Override
    public <T> CompletableFuture<WriteResult<T>> write(
        StoreKind<T> kind, String name, T value, OptionalLong expected) {
      return new CompletableFuture<>();
    }
  }

  /** Returns the address of a daemon; one that does not coordinate closes each connection. */
  private InetSocketAddress listen(boolean coordinates) throws IOException {
    int port =
        transport.listen(
            ANY,
            () ->
                new FrameListener() {
                  @Override
                  public void opened(FrameChannel channel) {
                    if (!coordinates) {
                      rejected.add(channel);
                      channel.close();
                    }
                  }

                  @Override
                  public void received(FrameChannel channel, byte[] frame)
                      throws LinkFrames.FormatException {
                    if (coordinates) {
                      received.add(LinkFrames.decode(frame));
                    }
                  }

                  @Override
                  public void closed(FrameChannel channel) {}
                });
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  private RegionRelay relay() {
    return new RegionRelay(
        List.of(AWAY),
        store,
        transport,
        loops,
        () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
  }

  private static LinkMessage crash(String process) {
    return new LinkMessage.CrashReport(
        new EndpointId(process), List.of(new LinkMessage.CrashSuspect(7, List.of(new PartKey(3)))));
  }

  private LinkMessage next() throws InterruptedException {
    return received.poll(WAIT_MS, TimeUnit.MILLISECONDS);
  }

  @Nested
  class Messages {

    @Test
    void reachTheCoordinatorInOrderWithOneRead() throws Exception {
      store.address = listen(true);
      RegionRelay relay = relay();
      relay.forward(crash("e1"));
      relay.forward(crash("e2"));

      assertThat(next()).isEqualTo(crash("e1"));
      assertThat(next()).isEqualTo(crash("e2"));
      relay.forward(crash("e3"));
      assertThat(next()).isEqualTo(crash("e3"));
      assertThat(store.reads).hasSize(1);
    }

    @Test
    void reachTheNextCoordinatorIfTheFirstHasStopped() throws Exception {
      store.address = listen(false);
      RegionRelay relay = relay();
      relay.forward(crash("e1"));
      assertThat(rejected.poll(WAIT_MS, TimeUnit.MILLISECONDS)).isNotNull();
      store.address = listen(true);

      assertThat(next()).isEqualTo(crash("e1"));
    }

    @Test
    void reachTheCoordinatorOnceItListens() throws Exception {
      store.address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
      RegionRelay relay = relay();
      relay.forward(crash("e1"));
      assertThat(store.reads.poll(WAIT_MS, TimeUnit.MILLISECONDS)).isNotNull();
      store.address = listen(true);

      assertThat(next()).isEqualTo(crash("e1"));
    }
  }
}
