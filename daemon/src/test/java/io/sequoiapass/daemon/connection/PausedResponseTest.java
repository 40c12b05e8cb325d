package io.sequoiapass.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Pauses and resumes a response from several threads. */
class PausedResponseTest {

  private static final long CALL_MS = 30_000;
  private static final long WAIT_MS = 5_000;

  private EventLoopGroup loops;

  @AfterEach
  void stop() {
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Notes the head and the body of a response. */
  private static final class Listener implements HttpStreamListener {

    final CompletableFuture<Void> head = new CompletableFuture<>();
    final CompletableFuture<Void> body = new CompletableFuture<>();

    @Override
    public void started(int status, HttpHeaders headers) {
      head.complete(null);
    }

    @Override
    public void received(byte[] part) {
      body.complete(null);
    }

    @Override
    public void ended() {}

    @Override
    public void failed(HttpFailure failure) {
      body.completeExceptionally(failure);
    }
  }

  /** Guards against a response that nobody reads since a pause takes effect after it was lifted. */
  @ParameterizedTest
  @EnumSource
  void isReadOnceItsPauseIsLifted(SocketTransport transport) throws Exception {
    loops = (transport == SocketTransport.EPOLL ? SocketTransport.best() : transport).group(1);
    CountDownLatch resumed = new CountDownLatch(1);
    InetSocketAddress address =
        ScriptedServer.start(
            (socket, out) -> {
              ScriptedServer.send(out, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");
              await(resumed);
              ScriptedServer.send(out, "body");
            });
    Listener listener = new Listener();
    HttpStream stream =
        HttpClient.create(loops, 500).stream(HttpCall.to(address, "GET", "/"), CALL_MS, listener);
    listener.head.get(WAIT_MS, TimeUnit.MILLISECONDS);
    CountDownLatch paused = new CountDownLatch(1);
    var lifted =
        loops.submit(
            () -> {
              await(paused);
              stream.resume();
            });
    stream.pause();
    paused.countDown();
    lifted.get(WAIT_MS, TimeUnit.MILLISECONDS);
    loops.submit(() -> {}).get(WAIT_MS, TimeUnit.MILLISECONDS);
    resumed.countDown();

    assertThat(listener.body).succeedsWithin(WAIT_MS, TimeUnit.MILLISECONDS);
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await(WAIT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
