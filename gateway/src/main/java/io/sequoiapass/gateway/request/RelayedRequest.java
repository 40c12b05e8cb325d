package io.sequoiapass.gateway.request;

import io.netty.handler.codec.http.HttpHeaders;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.daemon.connection.HttpFailure;
import io.sequoiapass.daemon.connection.HttpRequestMessage;
import io.sequoiapass.daemon.connection.HttpResponder;
import io.sequoiapass.gateway.process.Choice;
import io.sequoiapass.gateway.process.Demand;
import io.sequoiapass.gateway.process.EndpointChooser;
import io.sequoiapass.gateway.process.EndpointGroup;
import io.sequoiapass.gateway.process.SharedRetryBudget;
import io.sequoiapass.gateway.process.Target;
import io.sequoiapass.gateway.spi.AnswerClass;
import io.sequoiapass.gateway.spi.CallerFacts;
import io.sequoiapass.gateway.version.AdapterName;
import io.sequoiapass.gateway.version.RouteSpec;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Brings one request to an endpoint and its answer back to the caller.
 *
 * <p>It ends in one of three ways: the endpoint's answer, whole; a refusal, when it is proved that
 * no endpoint ran the request; or a failure that claims nothing. Safe for use by several threads:
 * its state has one lock, and what arrives for an attempt that is over is passed over.
 */
public final class RelayedRequest {

  /** Most endpoints that a request is sent to, refusals included. */
  private static final int MAX_SENDS = 4;

  /** With less time than this left, in milliseconds, no endpoint can answer. */
  private static final long LEAST_MS = 15;

  /**
   * Time after the deadline until the caller is refused, in milliseconds; the endpoint's own
   * answer, which says more, may still arrive.
   */
  private static final long DEADLINE_SLACK_MS = 40;

  /** A connection to an endpoint is given this long beyond the deadline, in milliseconds. */
  private static final long CALL_SLACK_MS = 300;

  /** How long another copy may take to be placed before the request goes to the one there is. */
  private static final long COPY_PLACING_MS = 60;

  /** A stream that pauses this many times the wanted gap has stopped. */
  private static final long STALL_GAPS = 3;

  /** An adapter that was not there yet is asked for again after this time for each sending. */
  private static final long EARLY_MS = 60;

  /** A caller that finds no way into the system is asked back after this time, in milliseconds. */
  private static final long RETRY_AFTER_MS = 300;

  private final RelayContext context;
  private final RouteSpec route;
  private final EndpointGroup group;
  private final SharedRetryBudget budget;
  private final CallerFacts facts;
  private final Optional<AdapterName> adapter;
  private final HttpResponder responder;
  private final Runnable finished;
  private final long arrivedAt;
  private final long deadlineAt;
  private final Set<EndpointId> avoid = new HashSet<>();
  private final EventRelay events;
  private final RequestLog requestLog;
  private Future<?> deadlineTimer;
  private Future<?> waitTimer;
  private Future<?> responseTimer;
  private final AdapterSearch search = new AdapterSearch();
  private final WaitTimes waits = new WaitTimes();
  private final ResponseTimes times;
  private final ForwardedRequest forward;
  private RelayAttempt attempt;
  private int sends;
  private int runs;
  private boolean waiting;
  private boolean answering;
  private boolean over;

  /**
   * Makes a request that has not been sent anywhere.
   *
   * @param context what all requests use
   * @param route the route that takes it
   * @param group the endpoints of its service
   * @param budget bounds repeats
   * @param facts what the caller says
   * @param exchange the caller's request and what answers it
   * @param finished runs once at the end
   */
  public RelayedRequest(
      RelayContext context,
      RouteSpec route,
      EndpointGroup group,
      SharedRetryBudget budget,
      CallerFacts facts,
      Exchange exchange,
      Runnable finished) {
    this.context = context;
    this.route = route;
    this.group = group;
    this.budget = budget;
    this.facts = facts;
    this.adapter = facts.generation().flatMap(Generation::adapter);
    this.forward = new ForwardedRequest(context.endpoints(), route, exchange.request());
    this.responder = exchange.responder();
    this.finished = finished;
    this.arrivedAt = context.clock().millis();
    this.times = new ResponseTimes(arrivedAt);
    long allowedMs = Math.min(route.timeoutMs(), facts.deadlineMs().orElse(route.timeoutMs()));
    this.deadlineAt = arrivedAt + allowedMs;
    this.requestLog = new RequestLog(context, route, facts);
    this.events = new EventRelay(facts.lastEventId().orElse(EventRelay.NONE));
  }

  /**
   * A caller's request and what answers it.
   *
   * @param request the request
   * @param responder sends the answer
   */
  public record Exchange(HttpRequestMessage request, HttpResponder responder) {}

  /** Begins. */
  public synchronized void start() {
    responder.onClose(this::callerLeft);
    responder.onWritable(this::callerReads);
    long leftMs = deadlineAt - arrivedAt + DEADLINE_SLACK_MS;
    deadlineTimer =
        context.loop().schedule(this::deadline, Math.max(0, leftMs), TimeUnit.MILLISECONDS);
    dispatch();
  }

  /** Looks for an endpoint again: an adapter is there, or on its way. */
  synchronized void retryDispatch() {
    if (waiting && !over) {
      rest(ResumeDelay.READ_MS);
    }
  }

  /**
   * Called when a data centre cannot bring the adapter now. One that this request did not ask says
   * nothing about its turn elsewhere.
   */
  synchronized void noRoom(DataCentreId dataCentre, long queueWaitMs) {
    if (waiting && !over && search.noRoom(dataCentre, queueWaitMs)) {
      rest(ResumeDelay.READ_MS);
    }
  }

  /** Called when a coordinator is lost; loads that are queued there are lost with it. */
  synchronized void coordinatorLost(DataCentreId dataCentre) {
    if (waiting && !over && search.lost(dataCentre)) {
      rest(ResumeDelay.READ_MS);
    }
  }

  private void dispatch() {
    stopWaiting();
    long now = context.clock().millis();
    long remainingMs = deadlineAt - now;
    if (remainingMs < LEAST_MS) {
      giveUp();
      return;
    }
    search.closeOverdue(now);
    Demand demand = new Demand(facts.generation(), Set.copyOf(avoid), remainingMs);
    Choice choice = group.choose(demand, loadable(), now);
    if (choice instanceof Choice.Send send) {
      search.sent();
      send(send, demand, now);
    } else if (choice instanceof Choice.AwaitLoad load) {
      search.found();
      await(WaitTimes.Kind.LOAD, now, load.waitMs() + 1);
    } else if (choice instanceof Choice.RequestLoad load) {
      requestLoad(load, demand, now);
    } else if (choice instanceof Choice.Refuse refusal) {
      refuseOrFail(orFull(refusal));
    }
  }

  private EndpointChooser.Loadable loadable() {
    return new EndpointChooser.Loadable(
        search.open(context.adapters().loadable()), search.queueWaits());
  }

  /**
   * Where only full data centres are left, their answer says more than that there is no endpoint.
   */
  private Choice.Refuse orFull(Choice.Refuse refusal) {
    return refusal.kind() == ErrorKind.NO_ENDPOINT && search.retryAfterMs() > 0
        ? new Choice.Refuse(ErrorKind.OVERLOADED, search.retryAfterMs())
        : refusal;
  }

  private void requestLoad(Choice.RequestLoad load, Demand demand, long now) {
    long waitedMs = now - arrivedAt;
    long waitMs =
        load.waits()
            ? EndpointTimeouts.maxQueueMs(route, waitedMs, deadlineAt - now, load.expectedMs())
            : 0;
    LoadRequest loadRequest = loadRequest(load, demand, waitMs, now);
    search.request(load, waitMs, now);
    boolean expired = load.waits() && waitMs == 0;
    if (expired || !context.adapters().requestLoad(load.dataCentre(), loadRequest)) {
      search.close();
      dispatch();
      return;
    }
    await(WaitTimes.Kind.PLACE, now, load.another() ? COPY_PLACING_MS : search.overdueAt() - now);
  }

  private LoadRequest loadRequest(Choice.RequestLoad load, Demand demand, long waitMs, long now) {
    return new LoadRequest(
        facts.generation().orElseThrow(),
        load.another(),
        EndpointTimeouts.maxLoadDelayMs(route, now - arrivedAt, load.expectedMs()),
        waitMs,
        group.excluded(demand, now));
  }

  private void await(WaitTimes.Kind what, long now, long waitMs) {
    waits.begin(what, now);
    adapter.ifPresent(name -> context.waiting().add(name, this));
    waiting = true;
    rest(waitMs);
  }

  private void rest(long ms) {
    cancel(waitTimer);
    long dueAt = context.clock().millis() + ms;
    waitTimer = context.loop().schedule(() -> rested(dueAt), ms, TimeUnit.MILLISECONDS);
  }

  private synchronized void rested(long dueAt) {
    if (!waiting || over) {
      return;
    }
    if (ResumeDelay.isAfterStandstill(dueAt, context.clock().millis())) {
      rest(ResumeDelay.READ_MS);
    } else {
      dispatch();
    }
  }

  private void stopWaiting() {
    cancel(waitTimer);
    if (waiting) {
      waits.end(context.clock().millis());
      waiting = false;
      adapter.ifPresent(name -> context.waiting().remove(name, this));
    }
  }

  private void send(Choice.Send choice, Demand demand, long now) {
    EndpointId endpoint = choice.candidate().endpoint();
    Optional<Target> target = group.target(endpoint, demand, now);
    Optional<EndpointGroup.Ticket> ticket = group.begin(endpoint, demand, now);
    if (target.isEmpty() || ticket.isEmpty()) {
      refuseOrFail(new Choice.Refuse(ErrorKind.NO_ENDPOINT, RETRY_AFTER_MS));
      return;
    }
    if (sends > 0 && (sends >= MAX_SENDS || !budget.take(now))) {
      ticket.get().ended(EndpointGroup.Ending.NO_BLAME, now);
      refuseOrFail(new Choice.Refuse(ErrorKind.OVERLOADED, RETRY_AFTER_MS));
      return;
    }
    sends++;
    requestLog.sent(choice, sends, now - arrivedAt, demand.remainingMs());
    HttpCall call = forward.to(target.get(), demand.remainingMs(), events.lastId());
    attempt = new RelayAttempt(this, ticket.get(), choice.candidate().dataCentre(), now);
    attempt.stream = context.http().stream(call, demand.remainingMs() + CALL_SLACK_MS, attempt);
    startResponseTimer(choice.expectedMs());
  }

  private void startResponseTimer(long expectedMs) {
    long abandonMs =
        facts.generation().isPresent()
            ? EndpointTimeouts.engineTimeoutMs(route, expectedMs)
            : EndpointTimeouts.serviceTimeoutMs(group.usualServiceMs());
    awaitResponse(attempt, abandonMs);
  }

  /** Waits for an endpoint's next event, where its silence can be recovered elsewhere. */
  private void awaitResponse(RelayAttempt from, long abandonMs) {
    cancel(responseTimer);
    if (route.mayRepeat() && runs + 1 < route.maxAttempts()) {
      long now = context.clock().millis();
      scheduleResponseCheck(from, new ResponseWatchdog(now, abandonMs), now);
    }
  }

  private void scheduleResponseCheck(RelayAttempt from, ResponseWatchdog watch, long now) {
    responseTimer =
        context
            .loop()
            .schedule(() -> look(from, watch), watch.nextLookMs(now), TimeUnit.MILLISECONDS);
  }

  /** Sends a request elsewhere whose endpoint sends nothing, or no longer says anything. */
  private synchronized void look(RelayAttempt waitedFor, ResponseWatchdog watch) {
    long now = context.clock().millis();
    if (over || attempt != waitedFor || !mayGoOnAfter(runs + 1, now)) {
      return;
    }
    if (watch.givesUp(waitedFor.ticket.endpointIsStalled(now), now)
        && failOver(waitedFor, now) == FailoverPolicy.Step.MOVE) {
      waitedFor.stream.cancel();
      broken(waitedFor, "silent");
    } else {
      scheduleResponseCheck(waitedFor, watch, now);
    }
  }

  private FailoverPolicy.Step failOver(RelayAttempt from, long now) {
    EndpointId endpoint = from.ticket.endpoint();
    from.ticket.stalled(now);
    Set<EndpointId> others = new HashSet<>(avoid);
    others.add(endpoint);
    Demand demand = new Demand(facts.generation(), others, deadlineAt - now);
    Choice choice = group.choose(demand, loadable(), now);
    FailoverPolicy.Step step = FailoverPolicy.next(choice, endpoint, budget.allows(now));
    if (step == FailoverPolicy.Step.LOAD && !from.loadRequested) {
      Choice.RequestLoad load = (Choice.RequestLoad) choice;
      LoadRequest loadRequest = loadRequest(load, demand, 0, now);
      from.loadRequested = context.adapters().requestLoad(load.dataCentre(), loadRequest);
    }
    return step;
  }

  /** Called at the beginning of an answer; returns what it proves. */
  synchronized AnswerClass began(RelayAttempt from, int status, HttpHeaders headers) {
    AnswerClass answer = context.endpoints().classify(status, headers);
    if (over || from != attempt) {
      return answer;
    }
    if (answer == AnswerClass.SUCCESS) {
      cancel(responseTimer);
      from.ticket.begun(context.clock().millis());
      if (route.streams()) {
        beginStream(status, headers);
        awaitResponse(from, stallMs());
      }
    }
    return answer;
  }

  private void beginStream(int status, HttpHeaders headers) {
    events.drop();
    if (!answering) {
      answering = true;
      context.metrics().time("sequoiapass_first_event_ms", sinceArrival());
      responder.begin(status, context.endpoints().answerHeaders(headers));
    }
  }

  boolean streams() {
    return route.streams();
  }

  /** Passes on the whole events of a stream. */
  synchronized void received(RelayAttempt from, byte[] part) {
    if (over || from != attempt) {
      return;
    }
    byte[] whole = events.take(part);
    from.ticket.progress(context.clock().millis());
    if (whole.length > 0) {
      times.event(context.clock().millis());
      responder.write(whole);
      awaitResponse(from, stallMs());
      if (!responder.writable()) {
        from.stream.pause();
      }
    }
  }

  private long stallMs() {
    return route.gapTargetMs() * STALL_GAPS;
  }

  private synchronized void callerReads() {
    if (!over && attempt != null && attempt.stream != null) {
      attempt.stream.resume();
    }
  }

  /** Ends a stream that came whole. */
  synchronized void streamEnded(RelayAttempt from) {
    if (over || from != attempt) {
      return;
    }
    from.ticket.ended(EndpointGroup.Ending.ANSWERED, context.clock().millis());
    if (events.rest().length > 0) {
      responder.write(events.rest());
    }
    finish("answered", 0);
    responder.end();
  }

  /** Passes on an answer that came whole. */
  synchronized void answered(
      RelayAttempt from, AnswerClass answer, int status, RelayAttempt.Body body) {
    if (over || from != attempt) {
      return;
    }
    long now = context.clock().millis();
    boolean success = answer == AnswerClass.SUCCESS;
    from.ticket.ended(success ? EndpointGroup.Ending.ANSWERED : EndpointGroup.Ending.FAILED, now);
    runs++;
    if (!success && mayGoOn(now)) {
      avoid.add(from.ticket.endpoint());
      dispatch();
      return;
    }
    if (answering) {
      cut(ErrorKind.STREAM_SHORT, "resumption failed with " + status);
      return;
    }
    context.metrics().time("sequoiapass_answer_ms", sinceArrival());
    finish(success ? "answered" : "endpoint_failed", status);
    responder.respond(status, context.endpoints().answerHeaders(body.headers()), body.bytes());
  }

  private boolean mayGoOn(long now) {
    return mayGoOnAfter(runs, now);
  }

  private boolean mayGoOnAfter(int possibleRuns, long now) {
    return route.mayRepeat()
        && possibleRuns < route.maxAttempts()
        && sends < MAX_SENDS
        && deadlineAt - now > LEAST_MS;
  }

  /** Called when the endpoint did not run the request, and why. */
  synchronized void rejected(RelayAttempt from, AnswerClass answer) {
    if (over || from != attempt) {
      return;
    }
    long now = context.clock().millis();
    requestLog.notRun(from, answer);
    boolean busy = answer == AnswerClass.NOT_RUN_BUSY;
    // An endpoint that calls itself full with half of its places free is not to be believed, and
    // one that does not know the request's base model has started anew.
    boolean blame = busy ? from.ticket.wasHalfEmpty() : adapter.isEmpty();
    from.ticket.ended(blame ? EndpointGroup.Ending.FAILED : EndpointGroup.Ending.NO_BLAME, now);
    boolean early =
        !busy
            && adapter.isPresent()
            && group.postpone(from.ticket.endpoint(), adapter.get(), now, now + EARLY_MS * sends);
    if (adapter.isPresent() && !busy) {
      context.adapters().missed(from.dataCentre, from.ticket.endpoint(), adapter.get(), early);
    }
    if (!early) {
      if (!busy) {
        adapter.ifPresent(name -> group.absent(from.ticket.endpoint(), name));
      }
      avoid.add(from.ticket.endpoint());
    }
    dispatch();
  }

  /** Called when nothing of the request reached the endpoint. */
  synchronized void unsent(RelayAttempt from, HttpFailure failure) {
    if (over || from != attempt) {
      return;
    }
    from.ticket.ended(EndpointGroup.Ending.FAILED, context.clock().millis());
    requestLog.lost("unsent", from, String.valueOf(failure.getMessage()), events.lastId());
    avoid.add(from.ticket.endpoint());
    dispatch();
  }

  /** Called when an answer will not come, or not whole, though the request may have run. */
  synchronized void broken(RelayAttempt from, String reason) {
    if (over || from != attempt) {
      return;
    }
    long now = context.clock().millis();
    from.ticket.ended(EndpointGroup.Ending.FAILED, now);
    requestLog.lost("broken", from, reason, events.lastId());
    runs++;
    avoid.add(from.ticket.endpoint());
    if (mayGoOn(now)) {
      events.drop();
      dispatch();
    } else if (answering) {
      cut(ErrorKind.STREAM_SHORT, reason);
    } else {
      fail(ErrorKind.ENDPOINT_LOST_AFTER_START);
    }
  }

  private synchronized void deadline() {
    if (!over) {
      giveUp();
    }
  }

  /** Gives up what an endpoint does for this request; no fault of the endpoint. */
  private void abandonAttempt() {
    if (attempt != null && attempt.stream != null) {
      attempt.stream.cancel();
      attempt.ticket.ended(EndpointGroup.Ending.NO_BLAME, context.clock().millis());
    }
  }

  private void giveUp() {
    abandonAttempt();
    if (answering) {
      cut(ErrorKind.DEADLINE_PASSED_AFTER_START, "deadline");
    } else if (mayHaveRun()) {
      fail(ErrorKind.DEADLINE_PASSED_AFTER_START);
    } else {
      refuse(ErrorKind.DEADLINE_UNREACHABLE, RETRY_AFTER_MS);
    }
  }

  /** An attempt that is still open may run; one that ended is counted by what it proved. */
  private boolean mayHaveRun() {
    return runs > 0 || (attempt != null && !attempt.isOver());
  }

  private void refuseOrFail(Choice.Refuse refusal) {
    if (answering) {
      cut(ErrorKind.STREAM_SHORT, "no other endpoint");
    } else if (runs > 0) {
      fail(ErrorKind.ENDPOINT_LOST_AFTER_START);
    } else {
      refuse(refusal.kind(), refusal.retryAfterMs());
    }
  }

  private void refuse(ErrorKind kind, long retryAfterMs) {
    finish("refused_" + kind, kind.httpStatus());
    LocalResponse.send(context.callers(), facts, responder, kind, OptionalLong.of(retryAfterMs));
  }

  private void fail(ErrorKind kind) {
    finish("failed_" + kind, kind.httpStatus());
    LocalResponse.send(context.callers(), facts, responder, kind, OptionalLong.empty());
  }

  /** Ends a stream so that it does not look whole. */
  private void cut(ErrorKind kind, String reason) {
    finish("cut_" + kind + "_" + reason, 0);
    responder.abort();
  }

  private synchronized void callerLeft() {
    if (over) {
      return;
    }
    abandonAttempt();
    finish("caller_left", 0);
  }

  private void finish(String outcome, int status) {
    over = true;
    stopWaiting();
    cancel(deadlineTimer);
    cancel(responseTimer);
    finished.run();
    requestLog.ended(
        outcome, status, times.log(context.clock().millis(), waits), sends, runs, events.lastId());
  }

  private long sinceArrival() {
    return context.clock().millis() - arrivedAt;
  }

  private static void cancel(Future<?> timer) {
    if (timer != null) {
      timer.cancel(false);
    }
  }
}
