package io.sequoiapass.gateway.process;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.WorkspaceId;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.version.Workspace;
import io.sequoiapass.daemon.connection.HttpHandler;
import io.sequoiapass.daemon.connection.HttpRequestMessage;
import io.sequoiapass.daemon.connection.HttpResponder;
import io.sequoiapass.gateway.request.CallerAccess;
import io.sequoiapass.gateway.request.CallerExchange;
import io.sequoiapass.gateway.request.ErrorFormat;
import io.sequoiapass.gateway.request.Generation;
import io.sequoiapass.gateway.request.RelayContext;
import io.sequoiapass.gateway.request.RelayedRequest;
import io.sequoiapass.gateway.request.RequestOrigin;
import io.sequoiapass.gateway.spi.CallerFacts;
import io.sequoiapass.gateway.version.AdapterName;
import io.sequoiapass.gateway.version.EngineSpec;
import io.sequoiapass.gateway.version.RouteSpec;
import io.sequoiapass.gateway.version.ServingConfiguration;
import io.sequoiapass.gateway.version.StreamVersion;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

/**
 * Accepts callers' requests, finds their routes and starts them. Safe for use by several threads.
 */
final class CallerHandler implements HttpHandler {

  private static final double PERCENT = 100;

  private final RelayContext context;
  private final Supplier<ServingConfiguration> configuration;
  private final EndpointDirectory directory;
  private final RetryBudgets budgets;
  private final WorkspaceGate gate;
  private final CallerAdmission admission;
  private final StreamResumption resumption;
  private final TaskGuard guard;
  private final AtomicInteger inFlight = new AtomicInteger();

  CallerHandler(
      RelayContext context,
      Supplier<ServingConfiguration> configuration,
      EndpointDirectory directory,
      RetryBudgets budgets,
      WorkspaceGate gate,
      CallerAdmission admission,
      StreamResumption resumption,
      TaskGuard guard) {
    this.context = context;
    this.configuration = configuration;
    this.directory = directory;
    this.budgets = budgets;
    this.gate = gate;
    this.admission = admission;
    this.resumption = resumption;
    this.guard = guard;
  }

  /** Returns the number of requests in flight. */
  int inFlight() {
    return inFlight.get();
  }

  @Override
  public void handle(HttpRequestMessage request, HttpResponder responder) {
    CallerFacts facts = context.callers().read(request);
    ServingConfiguration known = configuration.get();
    if (known == null) {
      refuse(ErrorKind.NO_CONFIGURATION, facts, responder);
      return;
    }
    if (isAmbiguous(request)) {
      refuse(ErrorKind.MALFORMED_REQUEST, facts, responder);
      return;
    }
    String host = request.header(HttpHeaderNames.HOST.toString()).orElse("");
    Optional<RouteSpec> route = known.route(host, pathOf(request.target()));
    if (route.isEmpty()) {
      refuse(ErrorKind.UNKNOWN_SERVICE, facts, responder);
      return;
    }
    WorkspaceGate.Verdict verdict = gate.identify(known, route.get(), facts);
    if (verdict instanceof WorkspaceGate.Verdict.Denied denied) {
      refuse(denied.kind(), facts, responder);
      return;
    }
    if (!context.stop().accepts(route.get(), context.clock().millis())) {
      refuse(ErrorKind.DRAINING, facts, responder);
      return;
    }
    ServiceId service = route.get().target(Math.random());
    if (!isKnown(facts, known, service)) {
      refuse(ErrorKind.UNKNOWN_ADAPTER, facts, responder);
      return;
    }
    WorkspaceGate.Verdict.Known caller = (WorkspaceGate.Verdict.Known) verdict;
    OptionalLong retryAfterMs = charge(caller, facts);
    if (retryAfterMs.isPresent()) {
      refuse(ErrorKind.USAGE_LIMIT, caller.workspace(), retryAfterMs, facts, responder);
      return;
    }
    CallerAccess access = gate.access(caller, route.get(), facts);
    long now = context.clock().millis();
    RequestOrigin origin = RequestOrigin.caller(route.get(), facts, now - request.waitedMs());
    CallerExchange exchange = new CallerExchange(request, facts, access, origin, responder);
    if (StreamResumption.isNeeded(route.get(), facts)) {
      budgets.of(service).requestArrived(now);
      resume(route.get(), exchange);
    } else {
      admit(service, route.get(), exchange);
    }
  }

  /** Starts a request unless its service is short of room. */
  private void admit(ServiceId service, RouteSpec route, CallerExchange exchange) {
    CallerAdmission.Decision decision = admission.decide(service, route, exchange);
    if (decision instanceof CallerAdmission.Decision.Refused refused) {
      exchange.access().notRun().run();
      refuse(service, route, refused, exchange);
    } else if (decision instanceof CallerAdmission.Decision.Admitted admitted) {
      budgets.of(service).requestArrived(context.clock().millis());
      start(service, route, admitted.exchange(), admitted.ended());
    }
  }

  /** Starts a request that continues a stream, once it is known who began it. */
  private void resume(RouteSpec route, CallerExchange exchange) {
    CompletableFuture<Optional<StreamVersion>> search = resumption.find(route, exchange.facts());
    inFlight.incrementAndGet();
    PendingResumption.Outcome outcome =
        new PendingResumption.Outcome() {
          @Override
          public void found(StreamVersion version) {
            start(version.service(), route, exchange.boundTo(version.software()));
          }

          @Override
          public void refused(ErrorKind kind) {
            refuse(kind, exchange.facts(), exchange.responder());
          }

          @Override
          public void ended() {
            inFlight.decrementAndGet();
          }
        };
    new PendingResumption(context, exchange, guard, outcome).start(search);
  }

  @Override
  public void refuseUnread(HttpRequestMessage head, HttpResponder responder) {
    refuse(ErrorKind.OVERLOADED, context.callers().read(head), responder);
  }

  private OptionalLong charge(WorkspaceGate.Verdict.Known caller, CallerFacts facts) {
    return caller.workspace().isPresent()
        ? gate.charge(caller.workspace().get(), facts, context.clock().millis())
        : OptionalLong.empty();
  }

  /**
   * Returns whether the body's length or the host is ambiguous. Conflicting body lengths allow
   * request smuggling: another server may read the rest of the body as a second request.
   */
  private static boolean isAmbiguous(HttpRequestMessage request) {
    List<String> encodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    boolean ambiguousEncoding =
        encodings.size() > 1
            || (encodings.size() == 1
                && !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0).trim()));
    return ambiguousEncoding || request.headers().getAll(HttpHeaderNames.HOST).size() > 1;
  }

  private static String pathOf(String target) {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }

  /**
   * Returns whether a requested adapter exists; one that its base model does not have can never be
   * loaded. A base model that the service does not have passes this check, since another version of
   * the configuration may have it.
   */
  private static boolean isKnown(
      CallerFacts facts, ServingConfiguration configuration, ServiceId service) {
    Optional<EngineSpec> engine = configuration.service(service).flatMap(spec -> spec.engine());
    Optional<AdapterName> adapter = facts.generation().flatMap(Generation::adapter);
    if (engine.isEmpty() || adapter.isEmpty()) {
      return true;
    }
    return engine
        .get()
        .model(adapter.get().model())
        .map(spec -> spec.adapterExists().test(adapter.get().adapter()))
        .orElse(true);
  }

  /** Records a request that a peer has accepted for the retry budget of this daemon. */
  void requestHandedOn(ServiceId service) {
    budgets.of(service).requestArrived(context.clock().millis());
  }

  /** Starts a request of a caller or a peer. */
  void start(ServiceId service, RouteSpec route, CallerExchange exchange) {
    start(service, route, exchange, () -> {});
  }

  private void start(ServiceId service, RouteSpec route, CallerExchange exchange, Runnable ended) {
    inFlight.incrementAndGet();
    GuardedResponse response =
        new GuardedResponse(context, exchange, guard, inFlight::decrementAndGet);
    try {
      RelayedRequest request = request(service, route, response, ended);
      response.watch(request);
      request.start();
    } catch (RuntimeException e) {
      response.release();
      throw e;
    }
  }

  private RelayedRequest request(
      ServiceId service, RouteSpec route, GuardedResponse response, Runnable ended) {
    AtomicReference<RelayedRequest> created = new AtomicReference<>();
    RelayedRequest request =
        new RelayedRequest(
            context,
            route,
            service,
            directory.group(service),
            budgets.of(service),
            response.exchange(),
            () -> {
              response.finished(created.get());
              ended.run();
            });
    created.set(request);
    return request;
  }

  private void refuse(ErrorKind kind, CallerFacts facts, HttpResponder responder) {
    refuse(kind, Optional.empty(), kind.comeBackMillis(), facts, responder);
  }

  private void refuse(
      ErrorKind kind,
      Optional<Workspace> workspace,
      OptionalLong retryAfterMs,
      CallerFacts facts,
      HttpResponder responder) {
    refused(kind, facts)
        .with("workspace", workspace.map(one -> one.id().value()).orElse(""))
        .write();
    ErrorFormat.CALLER.send(context.callers(), facts, responder, kind, retryAfterMs);
  }

  private void refuse(
      ServiceId service,
      RouteSpec route,
      CallerAdmission.Decision.Refused refused,
      CallerExchange exchange) {
    AdmissionControl.Limit limit = refused.limit();
    CallerFacts facts = exchange.facts();
    refused(ErrorKind.OVERLOADED, facts)
        .with("route", route.name())
        .with("workspace", refused.flow().workspace().map(WorkspaceId::value).orElse(""))
        .with("priority", refused.flow().priority())
        .with("service", service)
        .with("room", limit.room())
        .with("share", Math.round(limit.share() * PERCENT) / PERCENT)
        .with("coordinator", limit.dataCentre())
        .with("shortage", limit.number())
        .with("retry_after_ms", limit.retryAfterMs())
        .write();
    ErrorFormat.CALLER.send(
        context.callers(),
        facts,
        exchange.responder(),
        ErrorKind.OVERLOADED,
        OptionalLong.of(limit.retryAfterMs()));
  }

  /** Counts a refusal and starts its log line. */
  private DecisionLog.Line refused(ErrorKind kind, CallerFacts facts) {
    context.metrics().count("sequoiapass_requests_total{outcome=\"refused_" + kind + "\"}");
    return context
        .log()
        .request("ended", facts.requestId())
        .with("outcome", "refused_" + kind)
        .with("status", kind.httpStatus());
  }
}
