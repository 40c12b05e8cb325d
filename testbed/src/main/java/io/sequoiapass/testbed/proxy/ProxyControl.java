package io.sequoiapass.testbed.proxy;

import com.google.gson.JsonSyntaxException;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.sequoiapass.daemon.connection.HttpRequestMessage;
import io.sequoiapass.daemon.connection.HttpResponder;
import io.sequoiapass.daemon.connection.HttpServer;
import io.sequoiapass.testbed.cli.Addresses;
import io.sequoiapass.testbed.wire.Json;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * HTTP control interface of a fault proxy.
 *
 * <p>{@code POST /faults} takes {@code {"mode":"delay","delay_ms":20}}, {@code
 * {"mode":"drop_after","direction":"TO_TARGET","bytes":100}}, {@code
 * {"mode":"one_way_cut","direction":"FROM_TARGET"}}, {@code {"mode":"cut"}}, {@code
 * {"mode":"freeze"}}, {@code {"mode":"refuse_new"}}, and {@code {}} to clear the fault.
 *
 * <p>Safe for use by several threads.
 */
public final class ProxyControl implements AutoCloseable {

  private final FaultProxy proxy;
  private final MultiThreadIoEventLoopGroup group;
  private final HttpServer server;

  private ProxyControl(FaultProxy proxy, MultiThreadIoEventLoopGroup group, HttpServer server) {
    this.proxy = proxy;
    this.group = group;
    this.server = server;
  }

  /**
   * Starts the control port of a proxy.
   *
   * @param proxy the proxy to control; closed together with its control port
   * @param port port to listen on; 0 for any free port
   * @throws IOException if the port cannot be bound
   */
  public static ProxyControl start(FaultProxy proxy, int port) throws IOException {
    var group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try {
      HttpServer server =
          HttpServer.builder(group, (request, responder) -> handle(proxy, request, responder))
              .start(Addresses.loopback(port));
      return new ProxyControl(proxy, group, server);
    } catch (IOException e) {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
      throw e;
    }
  }

  /** Returns the port of the control interface. */
  public int port() {
    return server.port();
  }

  private static void handle(
      FaultProxy proxy, HttpRequestMessage request, HttpResponder responder) {
    try {
      FaultMessage message = Json.GSON.fromJson(request.text(), FaultMessage.class);
      proxy.set(message == null ? ProxyFault.none() : message.toFault());
      responder.respond(200, Map.of(), "{}");
    } catch (JsonSyntaxException | IllegalArgumentException | NullPointerException e) {
      responder.respond(400, Map.of(), Json.GSON.toJson(Map.of("error", String.valueOf(e))));
    }
  }

  @Override
  public void close() {
    server.close();
    proxy.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private record FaultMessage(ProxyMode mode, int delayMs, long bytes, Direction direction) {

    ProxyFault toFault() {
      if (mode == null) {
        return ProxyFault.none();
      }
      return switch (mode) {
        case NONE -> ProxyFault.none();
        case CUT -> ProxyFault.cut();
        case DELAY -> ProxyFault.delay(delayMs);
        case FREEZE -> ProxyFault.freeze();
        case DROP_AFTER -> ProxyFault.dropAfter(direction, bytes);
        case ONE_WAY_CUT -> ProxyFault.oneWayCut(direction);
        case REFUSE_NEW -> ProxyFault.refuseNew();
      };
    }
  }
}
