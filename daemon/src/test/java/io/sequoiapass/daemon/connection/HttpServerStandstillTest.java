package io.sequoiapass.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What becomes of requests that come in while the process stands still. */
class HttpServerStandstillTest {

  private static final long STANDSTILL_MS = 900;
  private static final int READ_LIMIT_MS = 10_000;

  private final List<String> handled = new CopyOnWriteArrayList<>();
  private EventLoopGroup loops;
  private HttpServer server;

  @BeforeEach
  void start() throws IOException {
    loops = SocketTransport.best().group(1);
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    server =
        HttpServer.builder(
                loops,
                (request, responder) -> {
                  handled.add(request.target());
                  responder.respond(200, Map.of(), "{}");
                })
            .start(any);
  }

  @AfterEach
  void stop() {
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  // A client asks, gets no answer in time and leaves, while the process stands still. Awake, it
  // finds the request before the end of the connection. Handled, the request would go to an
  // endpoint
  // for nobody, and the client's next try would find that endpoint busy with it.
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aRequestWhoseClientLeftMeanwhileIsNotHandled(boolean connectedBefore) throws Exception {
    ask(open(), "/before").close();
    Socket early = open();
    answered(ask(early, "/early"));
    CountDownLatch asleep = new CountDownLatch(1);
    Future<?> awake = standStill(asleep);
    Socket gone = connectedBefore ? early : open();
    ask(gone, "/gone").close();
    try (Socket stayed = ask(open(), "/stayed")) {
      asleep.countDown();
      awake.sync();
      answered(stayed);
    }
    try (Socket last = ask(open(), "/last")) {
      answered(last);
    }
    assertThat(handled).contains("/early", "/stayed", "/last").doesNotContain("/gone");
  }

  // One client sends three requests at once and waits for all; the standstill changes nothing of
  // their order.
  @Test
  void requestsOfOneConnectionKeepTheirOrder() throws Exception {
    try (Socket client = open()) {
      answered(ask(client, "/0"));
      CountDownLatch asleep = new CountDownLatch(1);
      Future<?> awake = standStill(asleep);
      ask(ask(ask(client, "/1"), "/2"), "/3");
      asleep.countDown();
      awake.sync();
      for (int i = 0; i < 3; i++) {
        answered(client);
      }
    }
    assertThat(handled).containsExactly("/0", "/1", "/2", "/3");
  }

  /** Returns once the loop stands still: a request sent after that is read after the standstill. */
  private Future<?> standStill(CountDownLatch until) throws InterruptedException {
    CountDownLatch begun = new CountDownLatch(1);
    Future<?> awake =
        loops.submit(
            () -> {
              begun.countDown();
              until.await();
              TimeUnit.MILLISECONDS.sleep(STANDSTILL_MS);
              return null;
            });
    begun.await();
    return awake;
  }

  private Socket open() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
    socket.setSoTimeout(READ_LIMIT_MS);
    return socket;
  }

  private static Socket ask(Socket socket, String path) throws IOException {
    String head = "GET " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
    socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  private static void answered(Socket socket) throws IOException {
    StringBuilder answer = new StringBuilder();
    while (answer.indexOf("\r\n\r\n{}") < 0) {
      int next = socket.getInputStream().read();
      assertThat(next).as("the answer goes on after %s", answer).isNotNegative();
      answer.append((char) next);
    }
  }
}
