package io.sequoiapass.gateway.request;

import io.netty.handler.codec.http.HttpHeaders;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.daemon.connection.HttpFailure;
import io.sequoiapass.daemon.connection.HttpResponder;
import io.sequoiapass.gateway.process.Choice;
import io.sequoiapass.gateway.process.Demand;
import io.sequoiapass.gateway.process.EndpointChooser;
import io.sequoiapass.gateway.process.EndpointGroup;
import io.sequoiapass.gateway.process.EndpointTicket;
import io.sequoiapass.gateway.process.PathMonitor;
import io.sequoiapass.gateway.process.SharedRetryBudget;
import io.sequoiapass.gateway.process.Target;
import io.sequoiapass.gateway.spi.AnswerClass;
import io.sequoiapass.gateway.spi.CallerFacts;
import io.sequoiapass.gateway.spi.EndpointNotice;
import io.sequoiapass.gateway.version.AdapterName;
import io.sequoiapass.gateway.version.RouteSpec;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Forwards one request to an endpoint and relays the answer to the caller.
 *
 * <p>It ends in one of three ways: with the complete answer of an endpoint; with a rejection, if
 * provably no endpoint ran the request; or with an error that leaves open whether it ran. Safe for
 * use by several threads: one lock guards its state, and events of an attempt that has ended are
 * ignored.
 */
public final class RelayedRequest {

  /** Below this remaining time, in milliseconds, no endpoint can answer in time. */
  private static final long MIN_REMAINING_MS = 15;

  /**
   * Time after the deadline until the caller gets an error, in milliseconds; the endpoint's own
   * answer, which is more specific, may still arrive.
   */
  private static final long DEADLINE_SLACK_MS = 40;

  /** Timeout of a call to an endpoint beyond the request's deadline, in milliseconds. */
  private static final long CALL_SLACK_MS = 300;

  /**
   * How long a request waits until a further copy of its adapter is loading, in milliseconds; then
   * it is sent to the existing copy.
   */
  private static final long COPY_WAIT_MS = 60;

  /**
   * Delay before an endpoint that does not hold the adapter yet is tried again, in milliseconds for
   * each attempt so far.
   */
  private static final long EARLY_RETRY_MS = 60;

  /** Interval between checks while a request waits for an endpoint, in milliseconds. */
  private static final long ENDPOINT_CHECK_MS = 500;

  /** Retry advice to a caller whose request found no endpoint, in milliseconds. */
  private static final long RETRY_AFTER_MS = 300;

  private final RelayContext context;
  private final RouteSpec route;
  private final EndpointGroup group;
  private final AttemptCount attempts;
  private final CallerFacts facts;
  private final CallerAccess access;
  private final Optional<AdapterName> adapter;
  private final HttpResponder responder;
  private final Runnable finished;
  private final long arrivedAt;
  private final long deadlineAt;
  private final Set<EndpointId> avoid = new HashSet<>();
  private final EventRelay events;
  private final RequestLog requestLog;
  private Future<?> deadlineTimer;
  private final DispatchTimer dispatchTimer;
  private final ResponseTimer responseTimer;
  private final AdapterSearch search = new AdapterSearch();
  private final WaitTimes waits = new WaitTimes();
  private final ResponseTimes times;
  private final ForwardedRequest forward;
  private RelayAttempt attempt;
  private boolean waiting;
  private boolean responseStarted;
  private boolean completed;

  /**
   * Creates a request; {@link #start} sends it.
   *
   * @param context the dependencies that all requests share
   * @param route the request's route
   * @param group the endpoints of its service
   * @param budget limits retries
   * @param facts what the request's headers state
   * @param access what the caller was granted
   * @param exchange the caller's request and its responder
   * @param finished runs once at the end
   */
  public RelayedRequest(
      RelayContext context,
      RouteSpec route,
      EndpointGroup group,
      SharedRetryBudget budget,
      CallerFacts facts,
      CallerAccess access,
      CallerExchange exchange,
      Runnable finished) {
    this.context = context;
    this.route = route;
    this.group = group;
    this.attempts = new AttemptCount(route, budget);
    this.facts = facts;
    this.access = access;
    this.adapter = facts.generation().flatMap(Generation::adapter);
    this.forward = new ForwardedRequest(context.endpoints(), route, access, exchange.request());
    this.responder = exchange.responder();
    this.finished = finished;
    this.arrivedAt = context.clock().millis();
    this.dispatchTimer = new DispatchTimer(context.loop(), context.clock());
    this.responseTimer = new ResponseTimer(context.loop());
    this.times = new ResponseTimes(arrivedAt);
    long allowedMs = Math.min(route.timeoutMs(), facts.deadlineMs().orElse(route.timeoutMs()));
    this.deadlineAt = arrivedAt + allowedMs;
    this.requestLog = new RequestLog(context, route, facts, access);
    this.events = new EventRelay(facts.lastEventId().orElse(EventRelay.NONE));
  }

  /** Returns when the request arrived, in milliseconds. */
  long arrivedAt() {
    return arrivedAt;
  }

  /** Starts the request. */
  public synchronized void start() {
    responder.onClose(this::callerLeft);
    responder.onWritable(this::resumeStream);
    long leftMs = deadlineAt - arrivedAt + DEADLINE_SLACK_MS;
    deadlineTimer =
        context.loop().schedule(this::deadlinePassed, Math.max(0, leftMs), TimeUnit.MILLISECONDS);
    dispatch();
  }

  /** Dispatches again because an endpoint holds or loads the adapter. */
  synchronized void retryDispatch() {
    if (waiting && !completed) {
      scheduleDispatch(ResumeDelay.READ_DELAY_MS);
    }
  }

  /**
   * Called when a data centre has no free slot. Ignored unless this request has requested a load
   * there, since other replies do not affect its position in a queue.
   */
  synchronized void loadRejected(DataCentreId dataCentre, long queueWaitMs) {
    if (waiting && !completed && search.loadRejected(dataCentre, queueWaitMs)) {
      scheduleDispatch(ResumeDelay.READ_DELAY_MS);
    }
  }

  /** Called when a coordinator is disconnected; loads that are queued there are lost. */
  synchronized void coordinatorLost(DataCentreId dataCentre) {
    if (waiting && !completed && search.coordinatorLost(dataCentre)) {
      scheduleDispatch(ResumeDelay.READ_DELAY_MS);
    }
  }

  private void dispatch() {
    stopWaiting();
    long now = context.clock().millis();
    long remainingMs = deadlineAt - now;
    if (remainingMs < MIN_REMAINING_MS) {
      timeOut();
      return;
    }
    Optional<ErrorKind> denied = hasRun() ? Optional.empty() : access.recheck().get();
    if (denied.isPresent()) {
      refuse(denied.get(), denied.get().comeBackMillis());
      return;
    }
    search.excludeOverdue(now);
    Demand demand = new Demand(facts.generation(), Set.copyOf(avoid), remainingMs);
    Choice choice = group.choose(demand, loadable(), now);
    if (choice instanceof Choice.Send send) {
      search.reset();
      send(send, demand, now);
    } else if (choice instanceof Choice.AwaitLoad load) {
      search.loadFound();
      await(WaitTimes.Kind.LOAD, now, load.waitMs() + 1);
    } else if (choice instanceof Choice.AwaitEndpoint wait) {
      awaitEndpoint(wait, now);
    } else if (choice instanceof Choice.RequestLoad load) {
      requestLoad(load, demand, now);
    } else if (choice instanceof Choice.Refuse refusal) {
      refuseOrFail(search.preferOverloaded(refusal));
    }
  }

  private void awaitEndpoint(Choice.AwaitEndpoint choice, long now) {
    long sentInMs = choice.sentInMs(context.waiting().countBefore(group, arrivedAt));
    if (sentInMs + choice.responseMs() > deadlineAt - now || !attempts.maySend(now)) {
      refuseOrFail(new Choice.Refuse(ErrorKind.OVERLOADED, Math.max(RETRY_AFTER_MS, sentInMs)));
      return;
    }
    context.waiting().addForEndpoint(group, this);
    await(WaitTimes.Kind.SLOT, now, Math.min(ENDPOINT_CHECK_MS, choice.waitMs() + 1));
  }

  private EndpointChooser.Loadable loadable() {
    return new EndpointChooser.Loadable(
        search.candidates(context.adapters().loadable()), search.queueWaits());
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
      search.exclude();
      dispatch();
      return;
    }
    await(WaitTimes.Kind.SLOT, now, load.another() ? COPY_WAIT_MS : search.overdueAt() - now);
  }

  private LoadRequest loadRequest(Choice.RequestLoad load, Demand demand, long waitMs, long now) {
    long maxDelayMs = EndpointTimeouts.maxLoadDelayMs(route, now - arrivedAt, load.expectedMs());
    Generation generation = facts.generation().orElseThrow();
    Set<EndpointId> excluded = group.excluded(demand, now);
    return new LoadRequest(generation, load.another(), maxDelayMs, waitMs, excluded);
  }

  private void await(WaitTimes.Kind what, long now, long waitMs) {
    waits.begin(what, now);
    adapter.ifPresent(name -> context.waiting().add(name, this));
    waiting = true;
    scheduleDispatch(waitMs);
  }

  private void scheduleDispatch(long ms) {
    dispatchTimer.schedule(ms, this::dispatchIfWaiting);
  }

  private synchronized void dispatchIfWaiting() {
    if (waiting && !completed) {
      dispatch();
    }
  }

  private void stopWaiting() {
    dispatchTimer.cancel();
    if (waiting) {
      waits.end(context.clock().millis());
      waiting = false;
      adapter.ifPresent(name -> context.waiting().remove(name, this));
      context.waiting().removeForEndpoint(group, this);
    }
  }

  private void send(Choice.Send choice, Demand demand, long now) {
    EndpointId endpoint = choice.candidate().endpoint();
    Optional<Target> target = group.target(endpoint, demand, now);
    Optional<EndpointTicket> ticket = group.begin(endpoint, demand, now);
    if (target.isEmpty() || ticket.isEmpty()) {
      // Another thread has used the permit, or removed the endpoint, since the choice.
      dispatch();
      return;
    }
    if (!attempts.trySend(now)) {
      ticket.get().ended(EndpointTicket.Ending.NO_BLAME, now);
      requestLog.retryDenied(attempts);
      refuseOrFail(new Choice.Refuse(ErrorKind.OVERLOADED, RETRY_AFTER_MS));
      return;
    }
    context.path().sent();
    requestLog.sent(choice, ticket.get(), attempts.sends(), now - arrivedAt, demand.remainingMs());
    HttpCall call = forward.to(target.get(), demand.remainingMs(), events.lastId());
    attempt = new RelayAttempt(this, ticket.get(), choice.candidate().dataCentre(), now);
    attempt.stream = context.http().stream(call, demand.remainingMs() + CALL_SLACK_MS, attempt);
    awaitResponse(
        attempt,
        facts.generation().isPresent()
            ? EndpointTimeouts.engineTimeoutMs(route, choice.expectedMs())
            : EndpointTimeouts.serviceTimeoutMs(group.usualServiceMs()));
  }

  /** Watches for an endpoint's next event if another endpoint could replace it. */
  private void awaitResponse(RelayAttempt from, long abandonMs) {
    responseTimer.cancel();
    if (attempts.isReplaceable()) {
      long now = context.clock().millis();
      ResponseWatchdog watch = new ResponseWatchdog(now, abandonMs);
      responseTimer.schedule(watch, now, due -> checkResponse(from, due));
    }
  }

  /** Fails over to another endpoint if this one has stopped responding. */
  private synchronized void checkResponse(RelayAttempt waitedFor, ResponseWatchdog watch) {
    long now = context.clock().millis();
    if (completed || attempt != waitedFor || !mayRetryAfter(attempts.runs() + 1, now)) {
      return;
    }
    if (watch.checkTimeout(waitedFor.ticket.isEndpointStalled(now), now)
        && failOver(waitedFor, now) == FailoverPolicy.Step.MOVE) {
      waitedFor.stream.cancel();
      broken(waitedFor, "silent");
    } else {
      responseTimer.schedule(watch, now, due -> checkResponse(waitedFor, due));
    }
  }

  private FailoverPolicy.Step failOver(RelayAttempt from, long now) {
    EndpointId endpoint = from.ticket.endpoint();
    from.ticket.stalled(now);
    Set<EndpointId> others = new HashSet<>(avoid);
    others.add(endpoint);
    Demand demand = new Demand(facts.generation(), others, deadlineAt - now);
    Choice choice = group.choose(demand, loadable(), now);
    FailoverPolicy.Step step = FailoverPolicy.next(choice, endpoint, attempts.budgetAllows(now));
    if (step == FailoverPolicy.Step.LOAD && !from.loadRequested) {
      Choice.RequestLoad load = (Choice.RequestLoad) choice;
      LoadRequest loadRequest = loadRequest(load, demand, 0, now);
      from.loadRequested = context.adapters().requestLoad(load.dataCentre(), loadRequest);
    }
    return step;
  }

  /** Called when status and headers of an answer arrive; returns the answer's class. */
  synchronized AnswerClass began(RelayAttempt from, int status, HttpHeaders headers) {
    AnswerClass answer = context.endpoints().classify(status, headers);
    EndpointNotice notice = context.endpoints().notice(status, headers);
    long now = context.clock().millis();
    requestLog.noticed(from, notice, from.ticket.noticed(notice, answer.isByEndpoint(), now));
    if (completed || from != attempt) {
      return answer;
    }
    if (answer == AnswerClass.SUCCESS) {
      responseTimer.cancel();
      from.ticket.begun(now);
      if (route.streams()) {
        beginStream(status, headers);
        awaitResponse(from, EndpointTimeouts.stallMs(route));
      }
    }
    return answer;
  }

  private void beginStream(int status, HttpHeaders headers) {
    events.discardRemainder();
    if (!responseStarted) {
      responseStarted = true;
      context.metrics().time("sequoiapass_first_event_ms", sinceArrival());
      responder.begin(status, context.endpoints().answerHeaders(headers));
    }
  }

  boolean streams() {
    return route.streams();
  }

  PathMonitor path() {
    return context.path();
  }

  /** Forwards the complete events of a stream. */
  synchronized void received(RelayAttempt from, byte[] part) {
    if (completed || from != attempt) {
      return;
    }
    byte[] complete = events.take(part);
    from.ticket.progress(context.clock().millis());
    if (complete.length > 0) {
      times.event(context.clock().millis());
      responder.write(complete);
      awaitResponse(from, EndpointTimeouts.stallMs(route));
      if (!responder.writable()) {
        from.stream.pause();
      }
    }
  }

  private synchronized void resumeStream() {
    if (!completed && attempt != null && attempt.stream != null) {
      attempt.stream.resume();
    }
  }

  /** Ends a stream that is complete. */
  synchronized void streamEnded(RelayAttempt from) {
    if (completed || from != attempt) {
      return;
    }
    from.ticket.ended(EndpointTicket.Ending.ANSWERED, context.clock().millis());
    if (events.remainder().length > 0) {
      responder.write(events.remainder());
    }
    finish("answered", 0);
    responder.end();
  }

  /** Forwards a complete answer, or retries after a failure. */
  synchronized void answered(
      RelayAttempt from, AnswerClass answer, int status, RelayAttempt.Body body) {
    if (completed || from != attempt) {
      return;
    }
    long now = context.clock().millis();
    boolean success = answer == AnswerClass.SUCCESS;
    from.ticket.ended(success ? EndpointTicket.Ending.ANSWERED : EndpointTicket.Ending.FAILED, now);
    attempts.ran();
    if (!success && mayRetry(now)) {
      avoid.add(from.ticket.endpoint());
      dispatch();
      return;
    }
    if (responseStarted) {
      abort(ErrorKind.STREAM_SHORT, "resumption failed with " + status);
      return;
    }
    context.metrics().time("sequoiapass_answer_ms", sinceArrival());
    finish(success ? "answered" : "endpoint_failed", status);
    responder.respond(status, context.endpoints().answerHeaders(body.headers()), body.bytes());
  }

  private boolean mayRetry(long now) {
    return mayRetryAfter(attempts.runs(), now);
  }

  private boolean mayRetryAfter(int possibleRuns, long now) {
    return attempts.mayRepeatAfter(possibleRuns) && deadlineAt - now > MIN_REMAINING_MS;
  }

  /** Called when the endpoint reports that it did not run the request. */
  synchronized void rejected(RelayAttempt from, AnswerClass answer) {
    if (completed || from != attempt) {
      return;
    }
    long now = context.clock().millis();
    requestLog.notRun(from, answer);
    boolean busy = answer == AnswerClass.NOT_RUN_BUSY;
    // An endpoint without the request's base model has restarted.
    boolean blame = busy ? from.ticket.isRejectionFaulty(now) : adapter.isEmpty();
    from.ticket.ended(blame ? EndpointTicket.Ending.FAILED : EndpointTicket.Ending.NO_BLAME, now);
    boolean early =
        !busy
            && adapter.isPresent()
            && group.postpone(
                from.ticket.endpoint(),
                adapter.get(),
                now,
                now + EARLY_RETRY_MS * attempts.sends());
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

  /** Called when no byte of the request reached the endpoint. */
  synchronized void unsent(RelayAttempt from, HttpFailure failure) {
    if (completed || from != attempt) {
      return;
    }
    from.ticket.ended(EndpointTicket.Ending.FAILED, context.clock().millis());
    attempts.unsent();
    requestLog.lost("unsent", from, String.valueOf(failure.getMessage()), events.lastId());
    avoid.add(from.ticket.endpoint());
    dispatch();
  }

  /** Called when the answer is lost or incomplete although the request may have run. */
  synchronized void broken(RelayAttempt from, String reason) {
    if (completed || from != attempt) {
      return;
    }
    long now = context.clock().millis();
    from.ticket.ended(EndpointTicket.Ending.FAILED, now);
    requestLog.lost("broken", from, reason, events.lastId());
    attempts.ran();
    avoid.add(from.ticket.endpoint());
    if (mayRetry(now)) {
      events.discardRemainder();
      dispatch();
    } else if (responseStarted) {
      abort(ErrorKind.STREAM_SHORT, reason);
    } else {
      fail(ErrorKind.ENDPOINT_LOST_AFTER_START);
    }
  }

  private synchronized void deadlinePassed() {
    if (!completed) {
      timeOut();
    }
  }

  /** Cancels the current attempt without counting it as a failure of the endpoint. */
  private void abandonAttempt() {
    if (attempt != null && attempt.stream != null) {
      attempt.stream.cancel();
      attempt.ticket.ended(EndpointTicket.Ending.NO_BLAME, context.clock().millis());
    }
  }

  private void timeOut() {
    abandonAttempt();
    if (responseStarted) {
      abort(ErrorKind.DEADLINE_PASSED_AFTER_START, "deadline");
    } else if (mayHaveRun()) {
      fail(ErrorKind.DEADLINE_PASSED_AFTER_START);
    } else {
      refuse(ErrorKind.DEADLINE_UNREACHABLE, OptionalLong.of(RETRY_AFTER_MS));
    }
  }

  /** An open attempt may have run; ended attempts that may have run are counted in runs. */
  private boolean mayHaveRun() {
    return attempts.runs() > 0 || (attempt != null && !attempt.isCompleted());
  }

  /** Returns whether an endpoint has run the request, or still may; a rejected attempt does not. */
  private boolean hasRun() {
    return responseStarted || mayHaveRun();
  }

  private void refuseOrFail(Choice.Refuse refusal) {
    if (responseStarted) {
      abort(ErrorKind.STREAM_SHORT, "no other endpoint");
    } else if (attempts.runs() > 0) {
      fail(ErrorKind.ENDPOINT_LOST_AFTER_START);
    } else {
      refuse(refusal.kind(), OptionalLong.of(refusal.retryAfterMs()));
    }
  }

  private void refuse(ErrorKind kind, OptionalLong retryAfterMs) {
    finish("refused_" + kind, kind.httpStatus());
    LocalResponse.send(context.callers(), facts, responder, kind, retryAfterMs);
  }

  private void fail(ErrorKind kind) {
    finish("failed_" + kind, kind.httpStatus());
    LocalResponse.send(context.callers(), facts, responder, kind, OptionalLong.empty());
  }

  /** Aborts a stream, so that the caller does not take it for complete. */
  private void abort(ErrorKind kind, String reason) {
    finish("cut_" + kind + "_" + reason, 0);
    responder.abort();
  }

  private synchronized void callerLeft() {
    if (completed) {
      return;
    }
    abandonAttempt();
    finish("caller_left", 0);
  }

  private void finish(String outcome, int status) {
    completed = true;
    stopWaiting();
    if (deadlineTimer != null) {
      deadlineTimer.cancel(false);
    }
    responseTimer.cancel();
    finished.run();
    if (!hasRun()) {
      access.notRun().run();
    }
    requestLog.ended(
        outcome, status, times.log(context.clock().millis(), waits), attempts, events.lastId());
  }

  private long sinceArrival() {
    return context.clock().millis() - arrivedAt;
  }
}
