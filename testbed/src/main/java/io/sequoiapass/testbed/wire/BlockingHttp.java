package io.sequoiapass.testbed.wire;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.daemon.connection.HttpClient;
import java.io.IOException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Blocking HTTP client for the sequential calls of the testbed.
 *
 * <p>Safe for use by several threads.
 */
public final class BlockingHttp implements AutoCloseable {

  private static final long TIMEOUT_MS = 5_000;
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpClient client = HttpClient.create(group, CONNECT_TIMEOUT_MS);

  /**
   * Sends a call and returns its answer, whatever its status.
   *
   * @param call the call
   * @throws IOException if no complete answer arrives in time
   * @throws InterruptedException if the wait is interrupted
   */
  public HttpAnswer send(HttpCall call) throws IOException, InterruptedException {
    try {
      return client.send(call, TIMEOUT_MS).get(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException(call + ": " + e.getMessage(), e);
    }
  }

  /**
   * Sends a call and parses the JSON body of its answer.
   *
   * @param call the call
   * @param type the object's type
   * @throws IOException if no complete answer with a success status arrives in time
   * @throws InterruptedException if the wait is interrupted
   */
  public <T> T read(HttpCall call, Class<T> type) throws IOException, InterruptedException {
    HttpAnswer answer = send(call);
    if (!answer.ok()) {
      throw new IOException(call + ": " + answer.status() + " " + answer.text());
    }
    return Json.GSON.fromJson(answer.text(), type);
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
