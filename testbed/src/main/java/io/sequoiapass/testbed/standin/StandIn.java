package io.sequoiapass.testbed.standin;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.sequoiapass.daemon.connection.HttpServer;
import io.sequoiapass.testbed.cli.Addresses;
import io.sequoiapass.testbed.cli.Flags;
import io.sequoiapass.testbed.cli.UsageException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * A stand-in server on a loopback port.
 *
 * <pre>{@code
 * try (StandIn engine = StandIn.start(StandInKind.ENGINE, "--id", "e1", "--slots", "2")) {
 *   call("http://127.0.0.1:" + engine.port() + "/v1/state");
 * }
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
public final class StandIn implements AutoCloseable {

  private final EventLoopGroup loop;
  private final HttpServer server;

  private StandIn(EventLoopGroup loop, HttpServer server) {
    this.loop = loop;
    this.server = server;
  }

  /**
   * Starts a stand-in.
   *
   * @param kind type of the stand-in
   * @param arguments its flags, for example {@code --port N}
   * @throws UsageException if a flag is invalid
   * @throws IOException if the port cannot be bound
   */
  public static StandIn start(StandInKind kind, String... arguments)
      throws UsageException, IOException {
    Flags flags = kind.definition().parse(arguments);
    int port = flags.integer("port", 0, 65_535);
    EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try {
      AuditedHandler handler = kind.create(flags, loop);
      HttpServer server =
          HttpServer.builder(loop, handler).maxBodyBytes(4 << 20).start(Addresses.loopback(port));
      return new StandIn(loop, server);
    } catch (UsageException | IOException | RuntimeException e) {
      loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
      throw e;
    }
  }

  /** Returns the port that the stand-in listens on. */
  public int port() {
    return server.port();
  }

  /** Returns the address that the stand-in listens on. */
  public InetSocketAddress address() {
    return Addresses.loopback(port());
  }

  @Override
  public void close() {
    server.close();
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
