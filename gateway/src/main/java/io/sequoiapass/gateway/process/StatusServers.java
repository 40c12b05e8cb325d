package io.sequoiapass.gateway.process;

import io.netty.channel.EventLoopGroup;
import io.sequoiapass.daemon.connection.HttpServer;
import io.sequoiapass.gateway.spi.HostSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.OptionalInt;
import java.util.function.BooleanSupplier;

/** Starts the servers that answer whether this daemon is ready, and what it counts. */
final class StatusServers {

  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private StatusServers() {}

  /**
   * Starts the servers.
   *
   * @param loops the event loops to run on
   * @param settings this host's settings
   * @param isReady whether this daemon takes callers
   * @param metricsPort the port for metrics; empty to serve none
   * @param metrics the counters
   * @throws IOException if an address cannot be bound
   */
  static void start(
      EventLoopGroup loops,
      HostSettings settings,
      BooleanSupplier isReady,
      OptionalInt metricsPort,
      GatewayMetrics metrics)
      throws IOException {
    HttpServer.builder(
            loops,
            (request, responder) ->
                responder.respond(isReady.getAsBoolean() ? OK : UNAVAILABLE, Map.of(), new byte[0]))
        .start(settings.readiness());
    if (metricsPort.isPresent()) {
      String host = settings.callers().getHostString();
      HttpServer.builder(
              loops,
              (request, responder) ->
                  responder.respond(OK, Map.of("Content-Type", "text/plain"), metrics.text()))
          .start(new InetSocketAddress(host, metricsPort.getAsInt()));
    }
  }
}
