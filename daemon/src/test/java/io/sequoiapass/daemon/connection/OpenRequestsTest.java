package io.sequoiapass.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against connections that end while a request that was read has no response yet. */
class OpenRequestsTest {

  private static final int READ_TIMEOUT_MS = 4_000;
  private static final int LONG_IDLE_MS = 60_000;
  private static final int SHORT_IDLE_MS = 300;
  private static final int HEADER_TIMEOUT_MS = 5_000;
  private static final long LONGER_THAN_IDLE_MS = 1_200;
  private static final String REQUEST = "GET /%s HTTP/1.1\r\nHost: a\r\n\r\n";

  private final BlockingQueue<HttpResponder> open = new LinkedBlockingQueue<>();
  private volatile int idleMs = LONG_IDLE_MS;
  private EventLoopGroup loops;
  private HttpServer server;

  @BeforeEach
  void start() throws IOException {
    loops = SocketTransport.best().group(1);
    server =
        HttpServer.builder(loops, (request, responder) -> open.add(responder))
            .limits(() -> new ConnectionLimits(4_096, 4_096, HEADER_TIMEOUT_MS, idleMs))
            .start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  @AfterEach
  void stop() {
    server.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
    socket.setSoTimeout(READ_TIMEOUT_MS);
    return socket;
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private HttpResponder nextRequest() throws InterruptedException {
    HttpResponder responder = open.poll(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    assertThat(responder).as("the request is handled").isNotNull();
    return responder;
  }

  private void respond() throws InterruptedException {
    nextRequest().respond(200, Map.of(), "{}");
  }

  private static String readResponse(Socket socket) throws IOException {
    StringBuilder answer = new StringBuilder();
    while (answer.indexOf("\r\n\r\n") < 0 || !answer.toString().endsWith("}")) {
      int next = socket.getInputStream().read();
      assertThat(next).as("the response continues after %s", answer).isNotNegative();
      answer.append((char) next);
    }
    return answer.toString();
  }

  private static void awaitMore() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(LONGER_THAN_IDLE_MS);
  }

  /** Guards against a rejection that is taken for the response to the request before it. */
  @Nested
  class BeforeAnInvalidRequest {

    private static final String MALFORMED = "BROKEN\r\n\r\n";
    private static final String TOO_LARGE =
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n";

    @ParameterizedTest
    @ValueSource(strings = {MALFORMED, TOO_LARGE})
    void areAnsweredFirst(String invalid) throws Exception {
      try (Socket client = connect()) {
        write(client, REQUEST.formatted("open"));
        HttpResponder responder = nextRequest();
        write(client, invalid);
        awaitMore();
        responder.respond(200, Map.of(), "{}");

        assertThat(readResponse(client)).startsWith("HTTP/1.1 200");
        assertThat(readResponse(client)).startsWith("HTTP/1.1 4");
        assertThat(client.getInputStream().read()).isNegative();
      }
    }

    @ParameterizedTest
    @ValueSource(strings = {MALFORMED, TOO_LARGE})
    void areAnsweredFirstIfReadTogether(String invalid) throws Exception {
      try (Socket client = connect()) {
        write(client, REQUEST.formatted("one") + REQUEST.formatted("two") + invalid);
        respond();
        respond();

        assertThat(readResponse(client)).startsWith("HTTP/1.1 200");
        assertThat(readResponse(client)).startsWith("HTTP/1.1 200");
        assertThat(readResponse(client)).startsWith("HTTP/1.1 4");
      }
    }
  }

  @Nested
  class WhenTheIdleLimitShrinks {

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void areAnswered(boolean connectedBefore) throws Exception {
      idleMs = connectedBefore ? LONG_IDLE_MS : SHORT_IDLE_MS;
      try (Socket client = connect()) {
        write(client, REQUEST.formatted("open") + REQUEST.formatted("pipelined"));
        idleMs = SHORT_IDLE_MS;
        awaitMore();
        respond();
        awaitMore();
        respond();

        assertThat(readResponse(client)).startsWith("HTTP/1.1 200");
        assertThat(readResponse(client)).startsWith("HTTP/1.1 200");
      }
    }

    @Test
    void areReadToTheirEnd() throws Exception {
      idleMs = SHORT_IDLE_MS;
      try (Socket client = connect()) {
        String text = REQUEST.formatted("slow");
        write(client, text.substring(0, 5));
        awaitMore();
        write(client, text.substring(5));
        respond();

        assertThat(readResponse(client)).startsWith("HTTP/1.1 200");
      }
    }
  }

  @Nested
  class WhenTheServerCloses {

    @Test
    void areAnsweredBeforeTheirConnectionsClose() throws Exception {
      try (Socket client = connect();
          Socket partly = connect()) {
        write(client, REQUEST.formatted("open"));
        write(partly, REQUEST.formatted("partly").substring(0, 5));
        HttpResponder responder = nextRequest();
        server.closeAfterAnswers();
        server.closeIdle();
        write(partly, REQUEST.formatted("partly").substring(5));
        respond();
        responder.respond(200, Map.of(), "{}");

        assertThat(readResponse(client)).startsWith("HTTP/1.1 200");
        assertThat(client.getInputStream().read()).isNegative();
        assertThat(readResponse(partly)).startsWith("HTTP/1.1 200");
      }
    }
  }
}
