package io.sequoiapass.daemon.process.command;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.daemon.connection.HttpRequestMessage;
import io.sequoiapass.daemon.connection.HttpResponder;
import io.sequoiapass.daemon.connection.HttpServer;
import io.sequoiapass.daemon.process.timeline.InvalidQueryException;
import io.sequoiapass.daemon.process.timeline.Timeline;
import io.sequoiapass.daemon.process.timeline.TimelineEvent;
import io.sequoiapass.daemon.process.timeline.TimelineKind;
import io.sequoiapass.daemon.process.timeline.TimelineQuery;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OperatorCommandsTest {

  private static final String UNREACHABLE_ADDRESS = "127.0.0.1:1";
  private static final long AHEAD_MS = 3_600_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private FakeDaemon one;
  private FakeDaemon two;

  /** Fake of a daemon's operator port. */
  private static final class FakeDaemon {

    final Timeline timeline;
    private final String name;
    private final HttpServer server;
    volatile int ready = 200;
    final AtomicInteger drains = new AtomicInteger();

    FakeDaemon(EventLoopGroup group, String name, long aheadMs) throws IOException {
      this.name = name;
      timeline =
          Timeline.create(new DaemonId(name), 100, () -> System.currentTimeMillis() + aheadMs);
      server =
          HttpServer.builder(group, this::answer)
              .start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    String address() {
      return "127.0.0.1:" + server.port();
    }

    void record(String request) {
      timeline.record(
          TimelineEvent.of(TimelineKind.REQUEST_ACCEPTED).request(new RequestId(request)).build());
    }

    private void answer(HttpRequestMessage request, HttpResponder responder) {
      try {
        switch (request.path()) {
          case "/status" ->
              responder.respond(
                  200, Map.of(), "{\"daemon\":\"" + name + "\",\"requests\":{\"open\":3}}");
          case "/ready" -> responder.respond(ready, Map.of(), "{}");
          case "/drain" -> {
            drains.incrementAndGet();
            responder.respond(202, Map.of(), "{}");
          }
          default ->
              responder.respond(200, Map.of(), timeline.json(TimelineQuery.parse(request::query)));
        }
      } catch (InvalidQueryException e) {
        responder.respond(400, Map.of(), e.getMessage());
      }
    }
  }

  @BeforeEach
  void start() throws IOException {
    one = new FakeDaemon(group, "entry-1", 0);
    two = new FakeDaemon(group, "entry-2", AHEAD_MS);
  }

  @AfterEach
  void stop() {
    one.server.close();
    two.server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private CommandRun both(String... arguments) {
    return CommandRun.of(
        Map.of("SEQUOIAPASS_OPERATORS", one.address() + "," + two.address()), arguments);
  }

  @Nested
  class DrainDaemon {

    @Test
    void drainsOnlyTheNamedDaemon() {
      assertThat(both("drain", "daemon", "entry-2").code()).isZero();
      assertThat(one.drains).hasValue(0);
      assertThat(two.drains).hasValue(1);
    }

    @Test
    void unknownDaemonExitsWithFourIfAnAddressDoesNotAnswer() {
      assertThat(both("drain", "daemon", "entry-3").code()).isEqualTo(1);
      assertThat(
              both(
                      "drain",
                      "daemon",
                      "entry-3",
                      "--operators",
                      one.address() + "," + UNREACHABLE_ADDRESS)
                  .code())
          .isEqualTo(4);
    }
  }

  @Nested
  class Status {

    @Test
    void showsEachDaemonAndWhetherItIsReady() {
      two.ready = 503;

      CommandRun run = both("status");

      assertThat(run.code()).isEqualTo(1);
      assertThat(run.out())
          .contains("entry-1\n", "  requests: {\"open\":3}\n", "  ready: true\n")
          .contains("entry-2\n", "  ready: false\n");
    }

    @Test
    void unresponsiveDaemonExitsWithFour() {
      CommandRun run = both("status", "--operators", one.address() + "," + UNREACHABLE_ADDRESS);

      assertThat(run.code()).isEqualTo(4);
      assertThat(run.out()).contains("entry-1\n");
      assertThat(run.err()).contains(UNREACHABLE_ADDRESS);
    }
  }

  @Nested
  class MergedTimelines {

    /**
     * A request is forwarded from the second daemon, whose clock is an hour ahead, to the first.
     * With uncorrected wall times the effect would appear an hour before its cause.
     */
    @Test
    void clockAnHourAheadIsCorrectedAndShown() {
      two.record("r1");
      long recorded = System.currentTimeMillis();
      one.record("r1");
      one.record("r2");

      CommandRun run =
          both("timeline", "--request", "r1", "--until", Long.toString(recorded + 60_000));

      assertThat(run.code()).isZero();
      assertThat(run.out().lines().filter(line -> line.startsWith("# ")))
          .hasSize(2)
          .anyMatch(line -> line.matches("# entry-2: clock (3600\\d{3}|3599\\d{3}) ms ahead.*"));
      assertThat(run.out()).contains("entry-1#1", "entry-2#1").doesNotContain("entry-1#2");
    }

    @Test
    void unresponsiveDaemonIsReportedAndTheRestIsShown() {
      one.record("r1");

      CommandRun run =
          both("timeline", "--json", "--operators", UNREACHABLE_ADDRESS + "," + one.address());

      assertThat(run.code()).isEqualTo(4);
      assertThat(run.err()).contains("are missing");
      assertThat(run.out()).contains("\"request\":\"r1\"");
    }
  }
}
