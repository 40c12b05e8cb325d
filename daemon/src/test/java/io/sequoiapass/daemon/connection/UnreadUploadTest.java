package io.sequoiapass.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a part of a response without a length, cut while its request is uploaded. */
class UnreadUploadTest {

  private static final long CALL_MS = 5_000;
  private static final int CALLS = 20;
  private static final long CLOSED_AFTER_MS = 10;
  private static final String FAILED = "failed";
  private static final String BODY = "part of a body";
  private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";

  private ServerSocket listening;
  private EventLoopGroup loops;
  private HttpClient http;

  @BeforeEach
  void listen() throws IOException {
    listening = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void stop() throws IOException {
    listening.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void start(SocketTransport transport) {
    loops = transport.group(1);
    http = HttpClient.create(loops, 500);
  }

  private CompletableFuture<String> outcome(int uploadBytes) {
    HttpCall call =
        HttpCall.to(
                new InetSocketAddress(listening.getInetAddress(), listening.getLocalPort()),
                "POST",
                "/")
            .body(new byte[uploadBytes])
            .reuse(ReusePolicy.NONE);
    return http.send(call, CALL_MS)
        .handle((answer, failure) -> failure == null ? answer.text() : FAILED);
  }

  /** Answers the next call after a part of the upload and closes the connection. */
  private void answerAfter(long readBytes) throws IOException {
    answerAfter(readBytes, 0);
  }

  /** Ends its side of the connection a time before it closes it. */
  private void answerAfter(long readBytes, long closedAfterMs) throws IOException {
    try (Socket socket = listening.accept()) {
      ScriptedServer.readRequest(socket);
      skip(socket.getInputStream(), readBytes);
      send(socket.getOutputStream());
      if (closedAfterMs > 0) {
        socket.shutdownOutput();
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(closedAfterMs));
      }
    }
  }

  private static void skip(InputStream in, long bytes) throws IOException {
    in.skipNBytes(bytes);
  }

  private static void send(OutputStream out) throws IOException {
    out.write((RESPONSE + BODY).getBytes(StandardCharsets.US_ASCII));
  }

  @Nested
  class Response {

    @ParameterizedTest
    @CsvSource({
      "EPOLL, 20000, 0", "EPOLL, 1048576, 0", "EPOLL, 8388608, 0", "EPOLL, 8388608, 2097152",
      "NIO, 20000, 0", "NIO, 1048576, 0", "NIO, 8388608, 0", "NIO, 8388608, 2097152"
    })
    void isNotCompleteWhileItsRequestIsUnread(
        SocketTransport transport, int uploadBytes, long readBytes) throws IOException {
      start(transport);
      for (int i = 0; i < CALLS; i++) {
        CompletableFuture<String> outcome = outcome(uploadBytes);
        answerAfter(readBytes);

        assertThat(outcome.join()).as("call %d", i).isEqualTo(FAILED);
      }
    }

    @ParameterizedTest
    @CsvSource({"20000", "1048576"})
    void isNotCompleteIfTheServerClosesAMomentAfterItsEnd(int uploadBytes) throws IOException {
      start(SocketTransport.best());
      for (int i = 0; i < CALLS; i++) {
        CompletableFuture<String> outcome = outcome(uploadBytes);
        answerAfter(0, CLOSED_AFTER_MS);

        assertThat(outcome.join()).as("call %d", i).isEqualTo(FAILED);
      }
    }

    @ParameterizedTest
    @CsvSource({"1", "1048576", "8388608"})
    void isCompleteIfItsRequestWasRead(int uploadBytes) throws IOException {
      start(SocketTransport.best());
      for (int i = 0; i < CALLS; i++) {
        CompletableFuture<String> outcome = outcome(uploadBytes);
        answerAfter(uploadBytes);

        assertThat(outcome.join()).as("call %d", i).isEqualTo(BODY);
      }
    }

    @ParameterizedTest
    @CsvSource({"EPOLL", "NIO"})
    void toARequestWithoutABodyIsComplete(SocketTransport transport) throws IOException {
      start(transport);
      CompletableFuture<String> outcome = outcome(0);
      answerAfter(0);

      assertThat(outcome.join()).isEqualTo(BODY);
    }
  }
}
