package io.sequoiapass.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Reads a long response that has arrived before the event loop is free to read it. */
class FairReadTest {

  private static final long CALL_MS = 30_000;
  private static final long WAIT_MS = 10_000;
  private static final long FILL_MS = 300;
  private static final int BODY_BYTES = 4 << 20;
  private static final int SHORT_CHUNKS = 64 << 10;

  private EventLoopGroup loops;

  @AfterEach
  void stop() {
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Counts the parts, and the bytes that arrive in each iteration of the event loop. */
  private static final class Counter implements HttpStreamListener {

    final CompletableFuture<Integer> total = new CompletableFuture<>();
    private final EventLoopGroup loop;
    private final AtomicInteger parts = new AtomicInteger();
    private volatile int mostInIteration;
    private int all;
    private int inIteration;

    Counter(EventLoopGroup loop) {
      this.loop = loop;
    }

    @Override
    public void started(int status, HttpHeaders headers) {
      loop.execute(FairReadTest::holdUp);
    }

    @Override
    public void received(byte[] part) {
      if (inIteration == 0) {
        loop.execute(this::endIteration);
      }
      parts.incrementAndGet();
      inIteration += part.length;
      all += part.length;
    }

    private void endIteration() {
      mostInIteration = Math.max(mostInIteration, inIteration);
      inIteration = 0;
    }

    @Override
    public void ended() {
      loop.execute(() -> total.complete(all));
    }

    @Override
    public void failed(HttpFailure failure) {
      total.completeExceptionally(failure);
    }
  }

  /** Keeps the event loop from reading while bytes arrive. */
  private static void holdUp() {
    try {
      TimeUnit.MILLISECONDS.sleep(FILL_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Guards against a server that takes the event loop of sound ones by sending fast. */
  @ParameterizedTest
  @EnumSource
  void leavesTheLoopToOthersAfterABoundedRead(SocketTransport transport) throws Exception {
    loops = (transport == SocketTransport.EPOLL ? SocketTransport.best() : transport).group(1);
    InetSocketAddress address =
        ScriptedServer.start(
            (socket, out) -> {
              ScriptedServer.send(
                  out, "HTTP/1.1 200 OK\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n");
              out.write(new byte[BODY_BYTES]);
            });
    Counter counter = new Counter(loops);

    HttpClient.create(loops, 500).stream(HttpCall.to(address, "GET", "/"), CALL_MS, counter);

    assertThat(counter.total.get(WAIT_MS, TimeUnit.MILLISECONDS)).isEqualTo(BODY_BYTES);
    assertThat(counter.mostInIteration).isLessThanOrEqualTo(HttpClient.MAX_READ_BYTES);
  }

  /** Guards against a server that takes the event loop of sound ones by sending short chunks. */
  @ParameterizedTest
  @EnumSource
  void passesOnShortChunksTogether(SocketTransport transport) throws Exception {
    loops = (transport == SocketTransport.EPOLL ? SocketTransport.best() : transport).group(1);
    InetSocketAddress address =
        ScriptedServer.start(
            (socket, out) -> {
              ScriptedServer.send(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
              ScriptedServer.send(out, "1\r\na\r\n".repeat(SHORT_CHUNKS) + "0\r\n\r\n");
            });
    Counter counter = new Counter(loops);

    HttpClient.create(loops, 500).stream(HttpCall.to(address, "GET", "/"), CALL_MS, counter);

    assertThat(counter.total.get(WAIT_MS, TimeUnit.MILLISECONDS)).isEqualTo(SHORT_CHUNKS);
    assertThat(counter.parts.get()).isLessThan(SHORT_CHUNKS / 16);
  }
}
