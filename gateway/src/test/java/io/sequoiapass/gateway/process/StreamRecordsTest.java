package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.daemon.connection.SocketTransport;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.version.SoftwareVersion;
import io.sequoiapass.gateway.version.StreamVersion;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against streams that only the daemon which relays them knows. */
class StreamRecordsTest {

  private static final ServiceId NOTES = new ServiceId("notes");
  private static final SoftwareVersion V1 = new SoftwareVersion("v1");
  private static final StreamVersion KNOWN = new StreamVersion(NOTES, V1);
  private static final long WAIT_MS = 5_000;

  private final MillisClock clock = MillisClock.monotonic();
  private final StreamVersions own = new StreamVersions(clock);
  private final StreamVersions keepers = new StreamVersions(clock);
  private EventLoopGroup loops = SocketTransport.best().group(1);
  private boolean hasSeveralVersions = true;

  @AfterEach
  void close() {
    loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(socket.getLocalAddress(), socket.getLocalPort());
    }
  }

  private void start(StreamVersions versions, InetSocketAddress at, InetSocketAddress keeper)
      throws IOException {
    List<LinkMessage.Member> members =
        List.of(new LinkMessage.Member(new DaemonId("d2"), new DataCentreId("south"), keeper));
    new StreamRecords(
            versions,
            () -> members,
            service -> hasSeveralVersions,
            new StreamVersionKeys(() -> Map.of(NOTES, Set.of(V1)), clock),
            new TaskGuard(DecisionLog.silent(), () -> {}, clock),
            new GatewayMetrics())
        .start(loops, at);
  }

  /** Starts both daemons; returns the address of the keeper. */
  private InetSocketAddress startBoth() throws IOException {
    InetSocketAddress here = freeAddress();
    InetSocketAddress keeper = freeAddress();
    start(keepers, keeper, here);
    start(own, here, keeper);
    return keeper;
  }

  private Optional<StreamVersion> awaitKept(String requestId) throws InterruptedException {
    long until = clock.millis() + WAIT_MS;
    while (clock.millis() < until && keepers.find(StreamVersions.key(requestId)).isEmpty()) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    return keepers.find(StreamVersions.key(requestId));
  }

  @ParameterizedTest
  @EnumSource(SocketTransport.class)
  void reachTheKeeper(SocketTransport transport) throws Exception {
    close();
    loops = transport.group(1);
    startBoth();
    own.began("r1", KNOWN);

    assertThat(awaitKept("r1")).contains(KNOWN);
  }

  @Nested
  class Receiver {

    @Test
    void ignoresOtherDatagramsAndUnknownVersions() throws Exception {
      InetSocketAddress keeper = startBoth();
      try (DatagramSocket socket = new DatagramSocket()) {
        for (int length : new int[] {0, 1, 15, 17, 1_000}) {
          socket.send(new DatagramPacket(new byte[length], length, keeper));
        }
      }
      own.began("r1", new StreamVersion(NOTES, new SoftwareVersion("v2")));
      own.began("r2", KNOWN);

      assertThat(awaitKept("r2")).contains(KNOWN);
      assertThat(keepers.find(StreamVersions.key("r1"))).isEmpty();
    }
  }

  @Nested
  class OneVersion {

    @Test
    void sendsNothing() throws Exception {
      startBoth();
      hasSeveralVersions = false;
      own.began("r1", KNOWN);
      hasSeveralVersions = true;
      own.began("r2", KNOWN);

      assertThat(awaitKept("r2")).contains(KNOWN);
      assertThat(keepers.find(StreamVersions.key("r1"))).isEmpty();
    }
  }
}
