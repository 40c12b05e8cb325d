package io.sequoiapass.daemon.process.command;

import io.netty.channel.EventLoopGroup;
import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.daemon.connection.HttpClient;
import io.sequoiapass.daemon.connection.HttpFailure;
import io.sequoiapass.daemon.connection.SocketTransport;
import io.sequoiapass.daemon.connection.platform.PlatformClient;
import io.sequoiapass.daemon.connection.platform.PlatformException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Blocking client that sends the calls of one command one at a time.
 *
 * <p>Not safe for use by several threads.
 */
final class CommandClient implements AutoCloseable {

  /** Largest answer of a daemon, in bytes; the time line of a busy one is some megabytes long. */
  private static final int MAX_ANSWER_BYTES = 64 << 20;

  private static final int CONNECT_TIMEOUT_MS = 1_000;

  /** Added to the timeout of the HTTP client, which normally expires first. */
  private static final long GRACE_MS = 1_000;

  private final EventLoopGroup group = SocketTransport.NIO.group(1);
  private final HttpClient client = HttpClient.create(group, CONNECT_TIMEOUT_MS);
  private final long timeoutMs;

  CommandClient(long timeoutMs) {
    this.timeoutMs = timeoutMs;
  }

  HttpAnswer send(HttpCall call) throws HttpFailure, CommandException {
    try {
      return client
          .send(call.maxBodyBytes(MAX_ANSWER_BYTES), timeoutMs)
          .get(timeoutMs + GRACE_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException e) {
      if (e.getCause() instanceof HttpFailure failure) {
        throw failure;
      }
      throw new CommandException(ExitCode.FAILED, call + ": " + e.getCause());
    } catch (TimeoutException e) {
      throw new HttpFailure("no answer in time: " + call, true);
    } catch (InterruptedException e) {
      throw interrupted();
    }
  }

  PlatformClient platform(InetSocketAddress address) {
    return new PlatformClient(client, address, timeoutMs);
  }

  /** Waits for the platform's answer to a call. */
  <T> T await(CompletableFuture<T> answer) throws PlatformException, CommandException {
    try {
      return answer.get(timeoutMs + GRACE_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException e) {
      if (e.getCause() instanceof PlatformException failure) {
        throw failure;
      }
      throw new CommandException(ExitCode.FAILED, "platform: " + e.getCause());
    } catch (TimeoutException e) {
      throw new CommandException(ExitCode.UNREACHABLE, "no answer from the platform in time");
    } catch (InterruptedException e) {
      throw interrupted();
    }
  }

  void pause(long pauseMs) throws CommandException {
    try {
      Thread.sleep(pauseMs);
    } catch (InterruptedException e) {
      throw interrupted();
    }
  }

  private static CommandException interrupted() {
    Thread.currentThread().interrupt();
    return new CommandException(ExitCode.FAILED, "interrupted");
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, GRACE_MS, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }
}
