package io.sequoiapass.daemon.connection;

import static io.sequoiapass.daemon.connection.RecordedConnection.now;
import static io.sequoiapass.daemon.connection.RecordedConnection.pause;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.sequoiapass.daemon.connection.RecordedConnection.IdleLimit;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against requests that end without a response, in random series of what ends them. */
class ConnectionEndPropertyTest {

  private static final long FIRST_SEED = Long.getLong("ends.first", 0);
  private static final int SEEDS = Integer.getInteger("ends.seeds", 8);
  private static final int PARALLEL = 8;
  private static final int CLIENTS = 5;
  private static final long SERIES_MS = 3_500;
  private static final long RESPONSE_MS = 10_000;
  private static final int SHORT_IDLE_MS = 300;
  private static final int LONG_IDLE_MS = 1_500;
  private static final int IDLE_SPREAD_MS = 400;
  private static final int LEAST_STALL_MS = 50;
  private static final int MOST_STALL_MS = 900;
  private static final int MOST_PIPELINED = 40;
  private static final int WHOLE = Integer.MAX_VALUE;
  private static final int LONG_RESPONSE_BYTES = 100_000;

  @Test
  void noRequestEndsWithoutAResponse() throws Exception {
    ExecutorService executor = Executors.newFixedThreadPool(PARALLEL);
    List<Future<List<String>>> series = new ArrayList<>();
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      Series one = new Series(seed);
      series.add(executor.submit(one::play));
    }
    List<String> violations = new ArrayList<>();
    for (Future<List<String>> one : series) {
      violations.addAll(one.get());
    }
    executor.shutdown();

    assertThat(violations).isEmpty();
  }

  /** One server on one event loop, its clients, and one that disturbs them. */
  private static final class Series implements HttpHandler {

    private final long seed;
    private final IdleLimit limit = new IdleLimit(SHORT_IDLE_MS);
    private final Queue<Integer> stalls = new ConcurrentLinkedQueue<>();
    private final Queue<RecordedConnection> connections = new ConcurrentLinkedQueue<>();
    private final Queue<String> disturbances = new ConcurrentLinkedQueue<>();
    private EventLoopGroup loops;
    private HttpServer server;
    private long endsAt;
    private volatile long stoppedAt = Long.MAX_VALUE;

    Series(long seed) {
      this.seed = seed;
    }

    @Override
    public void handle(HttpRequestMessage request, HttpResponder responder) {
      String[] target = request.target().substring(1).split("-", 2);
      switch (target[0]) {
        case "throws" -> throw new IllegalStateException("thrown by the handler");
        case "long" -> responder.respond(200, Map.of(), "x".repeat(LONG_RESPONSE_BYTES));
        case "late" ->
            loops.schedule(
                () -> responder.respond(200, Map.of(), "{}"),
                Long.parseLong(target[1]),
                TimeUnit.MILLISECONDS);
        default -> responder.respond(200, Map.of(), "{}");
      }
    }

    /** Stalls the event loop in its read phase. */
    @Override
    public void refuse(HttpFault fault, HttpResponder responder) {
      if (fault == HttpFault.MALFORMED) {
        Integer stallMs = stalls.poll();
        pause(stallMs == null ? 0 : stallMs);
      }
      HttpHandler.super.refuse(fault, responder);
    }

    List<String> play() throws Exception {
      loops = SocketTransport.best().group(1);
      server =
          HttpServer.builder(loops, this)
              .limits(() -> new ConnectionLimits(4_096, 4_096, 20_000, limit.get()))
              .start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      endsAt = now() + SERIES_MS;
      ExecutorService executor = Executors.newCachedThreadPool();
      try {
        List<Future<?>> parts = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
          Random random = new Random(seed * 100 + i);
          parts.add(executor.submit(() -> request(random)));
        }
        parts.add(executor.submit(() -> disturb(new Random(seed * 100 + CLIENTS))));
        for (Future<?> part : parts) {
          part.get();
        }
        return violations();
      } finally {
        executor.shutdown();
        connections.forEach(RecordedConnection::close);
        server.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
      }
    }

    private List<String> violations() {
      List<String> found = new ArrayList<>();
      for (RecordedConnection connection : connections) {
        connection
            .violation(stoppedAt)
            .ifPresent(
                what -> found.add("seed %d: %s; beside %s".formatted(seed, what, disturbances)));
      }
      return found;
    }

    private void request(Random random) {
      RecordedConnection connection = open();
      while (now() < endsAt) {
        if (!connection.isOpen()) {
          connection = open();
        }
        pause(random.nextInt(3) == 0 ? random.nextInt(50) : random.nextInt(limit.get() * 5 / 4));
        if (random.nextInt(100) < (seed % 2 == 0 ? 40 : 10)) {
          int stallMs = stall(random);
          pause(10 + random.nextInt(stallMs));
        }
        if (connection.isOpen()) {
          send(connection, random);
          connection.awaitResponses(RESPONSE_MS);
        }
      }
    }

    private static void send(RecordedConnection connection, Random random) {
      switch (random.nextInt(8)) {
        case 0 -> connection.send("parts", 1, 1 + random.nextInt(20), random.nextInt(400));
        case 1 -> connection.send("pipelined", 1 + random.nextInt(MOST_PIPELINED), WHOLE, 0);
        case 2 -> connection.send("late-" + random.nextInt(800), 1 + random.nextInt(3), WHOLE, 0);
        case 3 -> connection.send("throws", 1 + random.nextInt(2), WHOLE, 0);
        case 4 -> {
          connection.send("first", 1, WHOLE, 0);
          connection.awaitResponses(RESPONSE_MS);
          if (connection.isOpen()) {
            connection.sendLastAndMore("long", 120 + random.nextInt(100));
          }
        }
        default -> connection.send("whole", 1, WHOLE, 0);
      }
    }

    private void disturb(Random random) {
      while (now() < endsAt - SERIES_MS / 4) {
        switch (random.nextInt(4)) {
          case 0 -> invalid(0);
          case 1 -> stall(random);
          default -> {
            int limitMs =
                (random.nextBoolean() ? SHORT_IDLE_MS : LONG_IDLE_MS)
                    + random.nextInt(IDLE_SPREAD_MS);
            limit.set(limitMs);
            disturbances.add(now() + " limit " + limitMs);
          }
        }
        pause(random.nextInt(700));
      }
      stoppedAt = now();
      disturbances.add(stoppedAt + " stop");
      server.closeAfterAnswers();
      pause(20 + random.nextInt(200));
      server.closeIdle();
    }

    private int stall(Random random) {
      int stallMs = LEAST_STALL_MS + random.nextInt(MOST_STALL_MS - LEAST_STALL_MS);
      invalid(stallMs);
      return stallMs;
    }

    private void invalid(int stallMs) {
      stalls.add(stallMs);
      disturbances.add(now() + " invalid, stall " + stallMs);
      try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
        socket.getOutputStream().write("BROKEN\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    private RecordedConnection open() {
      try {
        RecordedConnection connection = new RecordedConnection(server.port(), limit);
        connections.add(connection);
        return connection;
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }
}
