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
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against servers whose bytes never end, until the client closes the connection. */
class EndlessResponseTest {

  private static final String ECHOED = "Request-Name";
  private static final long CALL_MS = 30_000;
  private static final long CLOSED_WITHIN_MS = 5_000;
  private static final long MOST_BYTES = 32 << 20;
  private static final int CONTENT_REPEATS = 512;

  private final EventLoopGroup loops = SocketTransport.best().group(1);
  private final HttpClient http = HttpClient.create(loops, 500, ECHOED);

  /** What a server sends without end. */
  private enum Bytes {
    STATUS_LINE("HTTP/1.1 200 ", "a", 0),
    HEADER("HTTP/1.1 200 OK\r\nA: ", "a", 0),
    HEADERS("HTTP/1.1 200 OK\r\n", "A: b\r\n", 0),
    SLOW_HEADERS("HTTP/1.1 200 OK\r\n", "A: b\r\n", 50),
    BLANK_LINES("", "\r\n", 0),
    SLOW_BLANK_LINES("", "\r\n", 50),
    INFORMATIONAL("", "HTTP/1.1 100 Continue\r\n\r\n", 0),
    ANSWER_TO_ANOTHER_REQUEST(
        "HTTP/1.1 200 OK\r\nRequest-Name: b\r\nTransfer-Encoding: chunked\r\n\r\n",
        "4\r\nabcd\r\n",
        0),
    CHUNK_SIZE("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0", 0),
    TRAILERS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", 0),
    CHUNK_EXTENSIONS(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "1;a=" + "b".repeat(1000) + "\r\na\r\n",
        0),
    SHORT_CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", 0),
    CHUNKED_BODY("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n", 0),
    BODY("HTTP/1.1 200 OK\r\n\r\n", "abcd", 0);

    private final String start;
    private final String content;
    private final long pauseMs;

    Bytes(String start, String content, long pauseMs) {
      this.start = start;
      this.content = content.repeat(pauseMs > 0 ? 1 : CONTENT_REPEATS);
      this.pauseMs = pauseMs;
    }

    /** Sends until the client closes; returns the number of bytes sent. */
    long sendUntilClosed(OutputStream out) {
      long sent = 0;
      try {
        out.write(start.getBytes(StandardCharsets.US_ASCII));
        while (true) {
          out.write(content.getBytes(StandardCharsets.US_ASCII));
          sent += content.length();
          TimeUnit.MILLISECONDS.sleep(pauseMs);
        }
      } catch (IOException closed) {
        return sent;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return Long.MAX_VALUE;
      }
    }
  }

  @AfterEach
  void stop() {
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static CompletableFuture<Long> serve(ServerSocket listening, String first, Bytes bytes) {
    CompletableFuture<Long> sent = new CompletableFuture<>();
    Thread thread =
        new Thread(
            () -> {
              try (listening;
                  Socket socket = listening.accept()) {
                socket.getInputStream().read();
                socket.getOutputStream().write(first.getBytes(StandardCharsets.US_ASCII));
                sent.complete(bytes.sendUntilClosed(socket.getOutputStream()));
              } catch (IOException e) {
                sent.completeExceptionally(e);
              }
            });
    thread.setDaemon(true);
    thread.start();
    return sent;
  }

  private HttpCall call(ServerSocket listening) {
    InetSocketAddress address =
        new InetSocketAddress(listening.getInetAddress(), listening.getLocalPort());
    return HttpCall.to(address, "GET", "/").header(ECHOED, "a");
  }

  @ParameterizedTest
  @EnumSource
  void failsAndClosesTheConnection(Bytes bytes) throws Exception {
    ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    CompletableFuture<Long> sent = serve(listening, "", bytes);

    CompletableFuture<HttpAnswer> answer = http.send(call(listening), CALL_MS);

    assertThat(answer)
        .failsWithin(CLOSED_WITHIN_MS, TimeUnit.MILLISECONDS)
        .withThrowableOfType(ExecutionException.class)
        .havingCause()
        .isInstanceOfSatisfying(
            HttpFailure.class, failure -> assertThat(failure.mayHaveReached()).isTrue());
    assertThat(sent.get(CLOSED_WITHIN_MS, TimeUnit.MILLISECONDS)).isLessThan(MOST_BYTES);
  }

  @ParameterizedTest
  @EnumSource(names = {"BLANK_LINES", "SLOW_BLANK_LINES", "INFORMATIONAL", "BODY"})
  void closesAnIdleConnection(Bytes bytes) throws Exception {
    ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    CompletableFuture<Long> sent =
        serve(listening, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", bytes);

    http.send(call(listening), CALL_MS);

    assertThat(sent.get(CLOSED_WITHIN_MS, TimeUnit.MILLISECONDS)).isLessThan(MOST_BYTES);
  }
}
