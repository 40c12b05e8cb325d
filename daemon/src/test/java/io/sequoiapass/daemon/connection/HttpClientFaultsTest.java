package io.sequoiapass.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
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

  /** What a server does with a connection after it has read a request. */
  @FunctionalInterface
  private interface Script {
    void play(Socket socket, OutputStream out) throws IOException;
  }

  /** Serves one connection by a script, once for each request that it reads. */
  private static InetSocketAddress server(Script script) throws IOException {
    ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    Thread thread =
        new Thread(
            () -> {
              try (listening;
                  Socket socket = listening.accept()) {
                while (readRequest(socket)) {
                  script.play(socket, socket.getOutputStream());
                }
              } catch (IOException closed) {
                // The script closed the connection; that is what the test wants.
                assertThat(closed).isNotNull();
              }
            });
    thread.setDaemon(true);
    thread.start();
    return new InetSocketAddress(listening.getInetAddress(), listening.getLocalPort());
  }

  private static boolean readRequest(Socket socket) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = socket.getInputStream().read();
      if (next < 0) {
        return false;
      }
      head.append((char) next);
    }
    return true;
  }

  private static void send(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
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
   * An answer without a length ends with its connection. A server that crashes resets the
   * connection in the middle of it; taken for the end, half an answer would look whole to the
   * caller.
   */
  @Nested
  class AnswerWithoutALength {

    @Test
    void isWholeWhenTheServerCloses() throws IOException {
      InetSocketAddress address =
          server(
              (socket, out) -> {
                send(out, "HTTP/1.1 200 OK\r\n\r\nwhole");
                socket.close();
              });

      assertThat(outcome(address, "r1")).isEqualTo("whole");
    }

    @Test
    void isNotWholeAfterAReset() throws IOException {
      InetSocketAddress address =
          server(
              (socket, out) -> {
                send(out, "HTTP/1.1 200 OK\r\n\r\nhal");
                // The client has to have read the first part, or the reset overtakes it.
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
   * A server sends a second answer to the request before, late, where the answer to the next one is
   * due. Taken for that, one caller would get the answer of another.
   */
  @Nested
  class AnswerToAnotherRequest {

    @Test
    void isPassedOver() throws IOException {
      InetSocketAddress address =
          server(
              (socket, out) -> send(out, answer("stranger", "not yours") + answer("r1", "mine")));

      assertThat(outcome(address, "r1")).isEqualTo("mine");
    }

    @Test
    void endsTheUseOfItsConnection() throws IOException {
      InetSocketAddress address =
          server(
              (socket, out) -> send(out, answer("stranger", "not yours") + answer("r1", "mine")));
      outcome(address, "r1");

      // The only connection that the server takes is closed by now.
      assertThat(outcome(address, "r2")).isEqualTo("failed");
    }
  }

  /**
   * The caller leaves, or its time is over, while the network holds the request up. After a plain
   * close the request would still arrive and run for nobody; the server has to see a reset.
   */
  @Nested
  class AbandonedCall {

    @Test
    void isResetWhenItsTimeIsOver() throws Exception {
      CompletableFuture<Boolean> reset = new CompletableFuture<>();
      InetSocketAddress address = server((socket, out) -> reset.complete(seesReset(socket)));
      http.send(HttpCall.to(address, "GET", "/").header(ECHOED, "r1").resetIfAbandoned(), 200)
          .handle((a, failure) -> failure)
          .join();

      assertThat(reset.get(CALL_MS, TimeUnit.MILLISECONDS)).isTrue();
    }

    private boolean seesReset(Socket socket) {
      try {
        return socket.getInputStream().read() >= 0;
      } catch (IOException e) {
        return true;
      }
    }
  }

  @Test
  void answerThatIsCutShortIsNoAnswer() throws IOException {
    InetSocketAddress address =
        server(
            (socket, out) -> {
              send(out, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
              socket.close();
            });

    assertThat(outcome(address, "r1")).isEqualTo("failed");
  }
}
