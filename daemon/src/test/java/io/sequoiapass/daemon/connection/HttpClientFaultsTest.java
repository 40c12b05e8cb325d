package io.sequoiapass.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HttpClientFaultsTest {

  private static final String ECHOED = "Request-Name";
  private static final long CALL_MS = 5_000;

  private final EventLoopGroup loops = SocketTransport.best().group(1);
  private final HttpClient http = HttpClient.create(loops, 500, ECHOED);

  @AfterEach
  void stop() {
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static String answer(String name, String body) {
    return "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s"
        .formatted(ECHOED, name, body.length(), body);
  }

  private String outcome(InetSocketAddress address, String name) {
    return http.send(HttpCall.to(address, "GET", "/").header(ECHOED, name), CALL_MS)
        .handle((a, failure) -> failure == null ? a.text() : "failed")
        .join();
  }

  /**
   * A response without a length ends with its connection. A server that crashes during the response
   * resets the connection; if the reset were taken as the end, the caller would accept a truncated
   * response as complete.
   */
  @Nested
  class ResponseWithoutLength {

    @Test
    void isCompleteWhenServerCloses() throws IOException {
      InetSocketAddress address =
          ScriptedServer.start(
              (socket, out) -> {
                ScriptedServer.send(out, "HTTP/1.1 200 OK\r\n\r\nwhole");
                socket.close();
              });

      assertThat(outcome(address, "r1")).isEqualTo("whole");
    }

    @Test
    void failsAfterReset() throws IOException {
      InetSocketAddress address =
          ScriptedServer.start(
              (socket, out) -> {
                ScriptedServer.send(out, "HTTP/1.1 200 OK\r\n\r\nhal");
                // The client must read the first part before the reset discards it.
                pause();
                socket.setSoLinger(true, 0);
                socket.close();
              });

      assertThat(outcome(address, "r1")).isEqualTo("failed");
    }

    private void pause() {
      try {
        TimeUnit.MILLISECONDS.sleep(200);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /**
   * A server sends a late duplicate response to the previous request in place of the response to
   * the current one. If the client accepted it, one caller would receive another caller's response.
   */
  @Nested
  class ResponseToAnotherRequest {

    @Test
    void isDiscarded() throws IOException {
      InetSocketAddress address =
          ScriptedServer.start(
              (socket, out) ->
                  ScriptedServer.send(out, answer("stranger", "not yours") + answer("r1", "mine")));

      assertThat(outcome(address, "r1")).isEqualTo("mine");
    }

    /** Guards against callers whose header names are in lower case getting others' responses. */
    @Test
    void isDiscardedHoweverTheHeaderIsWritten() throws IOException {
      InetSocketAddress address =
          ScriptedServer.start(
              (socket, out) ->
                  ScriptedServer.send(out, answer("stranger", "not yours") + answer("r1", "mine")));
      HttpCall call =
          HttpCall.to(address, "GET", "/").header(ECHOED.toLowerCase(Locale.ROOT), "r1");

      assertThat(http.send(call, CALL_MS).join().text()).isEqualTo("mine");
    }

    @Test
    void preventsReuseOfConnection() throws IOException {
      InetSocketAddress address =
          ScriptedServer.start(
              (socket, out) ->
                  ScriptedServer.send(out, answer("stranger", "not yours") + answer("r1", "mine")));
      outcome(address, "r1");

      // The client has closed the only connection that the server accepts.
      assertThat(outcome(address, "r2")).isEqualTo("failed");
    }
  }

  /** Guards against a response that names no request being copied as the response to the next. */
  @Nested
  class ResponseWithoutAnId {

    private static final String ANONYMOUS = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine";

    @Test
    void isAccepted() throws IOException {
      InetSocketAddress address =
          ScriptedServer.start((socket, out) -> ScriptedServer.send(out, ANONYMOUS));

      assertThat(outcome(address, "r1")).isEqualTo("mine");
    }

    @Test
    void preventsReuseOfConnection() throws IOException {
      InetSocketAddress address =
          ScriptedServer.start((socket, out) -> ScriptedServer.send(out, ANONYMOUS));
      outcome(address, "r1");

      assertThat(http.canReuse(address, ReusePolicy.ANY)).isFalse();
    }

    @Test
    void isTheOneToACallWithoutAnId() throws IOException {
      InetSocketAddress address =
          ScriptedServer.start(
              (socket, out) ->
                  ScriptedServer.send(out, answer("stranger", "not yours") + ANONYMOUS));

      assertThat(http.send(HttpCall.to(address, "GET", "/"), CALL_MS).join().text())
          .isEqualTo("mine");
    }
  }

  /**
   * The caller disconnects or times out while the network delays the request. After a plain close
   * the request would still arrive and run without a client, so the server must receive a reset.
   */
  @Nested
  class AbandonedCall {

    @Test
    void isResetAfterTimeout() throws Exception {
      CompletableFuture<Boolean> reset = new CompletableFuture<>();
      InetSocketAddress address =
          ScriptedServer.start((socket, out) -> reset.complete(receivesReset(socket)));
      http.send(HttpCall.to(address, "GET", "/").header(ECHOED, "r1").resetIfAbandoned(), 200)
          .handle((a, failure) -> failure)
          .join();

      assertThat(reset.get(CALL_MS, TimeUnit.MILLISECONDS)).isTrue();
    }

    private boolean receivesReset(Socket socket) {
      try {
        return socket.getInputStream().read() >= 0;
      } catch (IOException e) {
        return true;
      }
    }
  }

  @Test
  void truncatedResponseFails() throws IOException {
    InetSocketAddress address =
        ScriptedServer.start(
            (socket, out) -> {
              ScriptedServer.send(out, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
              socket.close();
            });

    assertThat(outcome(address, "r1")).isEqualTo("failed");
  }

  /**
   * A network that drops idle connections does so without notice. Each of them would cost a call
   * its timeout before the next one is tried.
   */
  @Test
  void closesOtherIdleConnectionsAfterOneIsLost() throws IOException {
    CountDownLatch both = new CountDownLatch(2);
    InetSocketAddress address =
        serverOfMany(
            (socket, out) -> {
              if (both.getCount() == 0) {
                socket.close();
                return;
              }
              both.countDown();
              await(both);
              ScriptedServer.send(out, answer("r1", ""));
            });
    HttpCall call = HttpCall.to(address, "GET", "/").header(ECHOED, "r1");
    CompletableFuture.allOf(http.send(call, CALL_MS), http.send(call, CALL_MS)).join();
    assertThat(http.canReuse(address, ReusePolicy.ANY)).isTrue();

    assertThat(outcome(address, "r3")).isEqualTo("failed");

    assertThat(http.canReuse(address, ReusePolicy.ANY)).isFalse();
  }

  private static void await(CountDownLatch latch) throws IOException {
    try {
      latch.await(CALL_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  /** Starts a server that runs the script on each of two connections at a time. */
  private static InetSocketAddress serverOfMany(ScriptedServer.Script script) throws IOException {
    ServerSocket listening = new ServerSocket(0, 2, InetAddress.getLoopbackAddress());
    for (int i = 0; i < 2; i++) {
      Thread thread =
          new Thread(
              () -> {
                try (Socket socket = listening.accept()) {
                  while (ScriptedServer.readRequest(socket)) {
                    script.run(socket, socket.getOutputStream());
                  }
                } catch (IOException closed) {
                  // Expected: the script closed the connection.
                  assertThat(closed).isNotNull();
                }
              });
      thread.setDaemon(true);
      thread.start();
    }
    return new InetSocketAddress(listening.getInetAddress(), listening.getLocalPort());
  }
}
