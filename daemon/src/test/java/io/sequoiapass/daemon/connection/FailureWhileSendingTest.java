package io.sequoiapass.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a failure that a caller misses, since it comes before the call has returned. */
class FailureWhileSendingTest {

  private static final long CALL_MS = 5_000;
  private static final long RESET_MS = 100;

  private final EventLoopGroup loops = SocketTransport.best().group(1);
  private final HttpClient http = HttpClient.create(loops, 500);

  @AfterEach
  void stop() {
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Test
  void comesAfterTheCallHasReturned() throws Exception {
    CountDownLatch reset = new CountDownLatch(1);
    InetSocketAddress address =
        ScriptedServer.start(
            (socket, out) -> {
              ScriptedServer.send(out, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
              await(reset);
              socket.setSoLinger(true, 0);
              socket.close();
            });
    HttpCall call = HttpCall.to(address, "GET", "/");
    http.send(call, CALL_MS).join();
    Failures failures = new Failures();
    loops
        .submit(
            () -> {
              reset.countDown();
              // The loop must not read the reset before it sends.
              TimeUnit.MILLISECONDS.sleep(RESET_MS);
              http.stream(call, CALL_MS, failures);
              failures.hasReturned = true;
              return null;
            })
        .get();

    assertThat(failures.cameAfterReturn.get(CALL_MS, TimeUnit.MILLISECONDS)).isTrue();
  }

  private static void await(CountDownLatch latch) throws IOException {
    try {
      latch.await();
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  private static final class Failures implements HttpStreamListener {

    private final CompletableFuture<Boolean> cameAfterReturn = new CompletableFuture<>();
    private volatile boolean hasReturned;

    @Override
    public void started(int status, HttpHeaders headers) {}

    @Override
    public void received(byte[] part) {}

    @Override
    public void ended() {}

    @Override
    public void failed(HttpFailure failure) {
      cameAfterReturn.complete(hasReturned);
    }
  }
}
