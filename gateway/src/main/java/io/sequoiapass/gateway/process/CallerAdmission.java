package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.request.CallerAccess;
import io.sequoiapass.gateway.request.CallerExchange;
import io.sequoiapass.gateway.request.Generation;
import io.sequoiapass.gateway.version.RouteSpec;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Admits or refuses callers' requests while services are short of room, and counts them for the
 * coordinators.
 *
 * <p>Safe for use by several threads.
 */
final class CallerAdmission {

  private final EndpointDirectory directory;
  private final MillisClock clock;
  private final GatewayMetrics metrics;
  private final AdmissionControl control;
  private final FlowDemandCounter counter;

  /** A decision on a request. */
  sealed interface Decision {

    /**
     * The request may start.
     *
     * @param exchange the request, whose end is counted
     * @param ended to be run at its end
     */
    record Admitted(CallerExchange exchange, Runnable ended) implements Decision {}

    /**
     * There is no room for the request.
     *
     * @param flow its priority and workspace
     * @param limit the limit for which it is refused
     */
    record Refused(Flow flow, AdmissionControl.Limit limit) implements Decision {}
  }

  /**
   * Creates an admission that refuses nothing until a coordinator reports a shortage.
   *
   * @param directory the endpoints
   * @param clock the monotonic clock
   * @param metrics the counters
   */
  CallerAdmission(EndpointDirectory directory, MillisClock clock, GatewayMetrics metrics) {
    this.directory = directory;
    this.clock = clock;
    this.metrics = metrics;
    this.control =
        new AdmissionControl(
            directory::coordinated, () -> ThreadLocalRandom.current().nextDouble());
    this.counter = new FlowDemandCounter(() -> control.isAnyShort(clock.millis()));
    metrics.gauges("sequoiapass_shortages", () -> control.gauges(clock.millis()));
  }

  /** Returns the parts that exchange messages with coordinators. */
  List<LinkModule> modules() {
    return List.of(control, counter);
  }

  /**
   * Decides on a request and counts it. Only requests of workspaces share room: others cannot be
   * told apart.
   *
   * @param service its service
   * @param route its route
   * @param exchange the request
   */
  Decision decide(ServiceId service, RouteSpec route, CallerExchange exchange) {
    long now = clock.millis();
    Flow flow = exchange.access().flow(route);
    if (flow.workspace().isEmpty()) {
      return new Decision.Admitted(exchange, () -> {});
    }
    boolean adapterHeld =
        exchange
            .facts()
            .generation()
            .flatMap(Generation::adapter)
            .map(directory::isHeld)
            .orElse(true);
    FlowDemandCounter.Key key = new FlowDemandCounter.Key(service, flow, adapterHeld);
    Optional<AdmissionControl.Limit> limit = control.check(service, flow, adapterHeld, now);
    if (limit.isPresent()) {
      counter.refused(key);
      metrics.count(
          "sequoiapass_shortage_refusals_total{service=\"%s\",room=\"%s\",priority=\"%d\"}"
              .formatted(service, limit.get().room(), flow.priority()));
      return new Decision.Refused(flow, limit.get());
    }
    counter.admitted(key);
    return admitted(key, exchange);
  }

  private Decision admitted(FlowDemandCounter.Key key, CallerExchange exchange) {
    AtomicBoolean notRun = new AtomicBoolean();
    CallerAccess access = exchange.access().onNotRun(() -> notRun.set(true));
    Runnable ended = () -> counter.ended(key, !notRun.get());
    return new Decision.Admitted(exchange.withAccess(access), ended);
  }
}
