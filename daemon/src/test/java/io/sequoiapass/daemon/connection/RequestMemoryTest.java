package io.sequoiapass.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against bodies that are bounded one by one and fill the heap together. */
class RequestMemoryTest {

  private static final int LONG_BYTES = 600_000;
  private static final int READ_MS = 5_000;
  private static final long WAIT_MS = 5_000;

  private final EventLoopGroup loops = SocketTransport.best().group(1);
  private final RequestMemory memory = new RequestMemory(1_000_000);
  private final Queue<HttpResponder> open = new ConcurrentLinkedQueue<>();
  private HttpServer server;

  @BeforeEach
  void start() throws IOException {
    server =
        HttpServer.builder(loops, (request, responder) -> open.add(responder))
            .memory(memory)
            .start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  @AfterEach
  void stop() {
    server.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
    socket.setSoTimeout(READ_MS);
    return socket;
  }

  private static void write(Socket socket, String head, int bodyBytes) throws IOException {
    OutputStream out = socket.getOutputStream();
    out.write(
        ("POST / HTTP/1.1\r\nHost: h\r\n" + head + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
    out.write(new byte[bodyBytes]);
    out.flush();
  }

  private static void sendWithLength(Socket socket, int bodyBytes) throws IOException {
    write(socket, "Content-Length: " + bodyBytes, bodyBytes);
  }

  private static void sendChunked(Socket socket, int bodyBytes) throws IOException {
    write(socket, "Transfer-Encoding: chunked", 0);
    OutputStream out = socket.getOutputStream();
    out.write((Integer.toHexString(bodyBytes) + "\r\n").getBytes(StandardCharsets.US_ASCII));
    out.write(new byte[bodyBytes]);
    out.write("\r\n0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
  }

  private static String status(Socket socket) throws IOException {
    byte[] line = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
    return new String(line, StandardCharsets.US_ASCII);
  }

  private void awaitOpen(int count) {
    awaitTrue(() -> open.size() == count);
  }

  private void awaitUsed(long bytes) {
    awaitTrue(() -> memory.usedBytes() == bytes);
  }

  private static void awaitTrue(BooleanSupplier condition) {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).as("time until the condition is true").isLessThan(until);
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
    }
  }

  @Nested
  class WhileALongRequestIsInProgress {

    private Socket first;

    @BeforeEach
    void sendFirst() throws IOException {
      first = connect();
      sendWithLength(first, LONG_BYTES);
      awaitOpen(1);
    }

    @AfterEach
    void close() throws IOException {
      first.close();
    }

    @Test
    void anotherIsRefusedBeforeItsBodyIsRead() throws IOException {
      try (Socket second = connect()) {
        write(second, "Content-Length: " + LONG_BYTES, 0);

        assertThat(status(second)).isEqualTo("HTTP/1.1 503");
        assertThat(open).hasSize(1);
      }
    }

    @Test
    void anotherWithoutALengthIsRefused() throws IOException {
      try (Socket second = connect()) {
        sendChunked(second, LONG_BYTES);

        assertThat(status(second)).isEqualTo("HTTP/1.1 503");
        assertThat(open).hasSize(1);
      }
    }

    @Test
    void shortOnesAreServed() throws IOException {
      try (Socket second = connect()) {
        sendWithLength(second, RequestMemory.SHORT_BYTES);
        awaitOpen(2);
        open.forEach(responder -> responder.respond(200, Map.of(), "ok"));

        assertThat(status(second)).isEqualTo("HTTP/1.1 200");
      }
    }
  }

  @Nested
  class Room {

    @Test
    void isFreedByTheResponse() throws IOException {
      try (Socket socket = connect()) {
        for (int i = 0; i < 3; i++) {
          sendWithLength(socket, LONG_BYTES);
          awaitOpen(1);
          assertThat(memory.usedBytes()).isEqualTo(LONG_BYTES);
          open.remove().respond(200, Map.of(), "");
          awaitUsed(0);
        }
      }
    }

    @Test
    void isFreedIfTheCallerLeaves() throws IOException {
      try (Socket complete = connect();
          Socket partial = connect()) {
        sendWithLength(complete, LONG_BYTES);
        awaitOpen(1);
        write(partial, "Content-Length: " + LONG_BYTES / 2, LONG_BYTES / 4);
        awaitUsed(LONG_BYTES + LONG_BYTES / 2);
      }

      awaitUsed(0);
    }
  }
}
