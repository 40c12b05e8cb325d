package io.sequoiapass.gateway.request;

import io.netty.handler.codec.http.HttpHeaders;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.coordination.request.OutcomeClass;
import io.sequoiapass.daemon.connection.BodyFraming;
import io.sequoiapass.daemon.connection.HttpFailure;
import io.sequoiapass.gateway.process.Choice;
import io.sequoiapass.gateway.process.Demand;
import io.sequoiapass.gateway.process.EndpointGroup;
import io.sequoiapass.gateway.process.Recipient;
import io.sequoiapass.gateway.process.SharedRetryBudget;
import io.sequoiapass.gateway.spi.AnswerClass;
import io.sequoiapass.gateway.spi.CallerFacts;
import io.sequoiapass.gateway.spi.EndpointNotice;
import io.sequoiapass.gateway.version.AdapterName;
import io.sequoiapass.gateway.version.RouteSpec;
import java.util.Optional;
import java.util.OptionalLong;
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
public final class RelayedRequest implements StoppableRequest {

  /** Retry advice to a caller whose request found no endpoint, in milliseconds. */
  private static final long RETRY_AFTER_MS = 300;

  final RelayContext context;
  final RouteSpec route;
  private final AttemptCount attempts;
  private final CallerFacts facts;
  private final CallerAccess access;
  private final Flow flow;
  private final Optional<AdapterName> adapter;
  private final RequestOrigin origin;
  private final ResponseRelay response;
  private final ReportedFailure failure = new ReportedFailure();
  private final StreamBinding binding;
  private final CrashEvidence crashes;
  private final EndpointRejection rejection;
  private final Runnable finished;
  private final AvoidedRecipients avoid = new AvoidedRecipients();
  private final RequestLog requestLog;
  private Future<?> deadlineTimer;
  private final RequestWait wait;
  private final PromptWait prompt;
  private final SilenceWatch silence;
  private final AdapterSearch search = new AdapterSearch();
  private final ForwardedRequest forward;
  private final PeerSender peerSender;
  private final StreamContinuation continuation;
  private final EndpointSelection selection;
  private final EndpointSender sender;
  private final OpenAttempts open = new OpenAttempts();
  private boolean completed;

  /**
   * Creates a request; {@link #start} sends it.
   *
   * @param context the dependencies that all requests share
   * @param route the request's route
   * @param service the service that answers it
   * @param group the endpoints of that service
   * @param budget limits retries
   * @param exchange the request, what is known about it, and its responder
   * @param finished runs once at the end
   */
  public RelayedRequest(
      RelayContext context,
      RouteSpec route,
      ServiceId service,
      EndpointGroup group,
      SharedRetryBudget budget,
      CallerExchange exchange,
      Runnable finished) {
    this.context = context;
    this.route = route;
    this.origin = exchange.origin();
    this.attempts = new AttemptCount(route, budget, origin);
    this.facts = exchange.facts();
    this.access = exchange.access();
    this.flow = access.flow(route);
    this.adapter = facts.generation().flatMap(Generation::adapter);
    this.forward = ForwardedRequest.of(context.endpoints(), service, route, exchange);
    this.response = new ResponseRelay(context, exchange);
    this.crashes = CrashEvidence.of(context.crashes(), service, exchange);
    this.rejection = new EndpointRejection(context, group, adapter);
    this.binding = new StreamBinding(context.streams(), service, route, facts, origin);
    this.finished = finished;
    this.prompt = new PromptWait(context.prompts(), group, route, origin, this::dispatchIn);
    this.wait = new RequestWait(context, group, adapter, this);
    this.requestLog = new RequestLog(context, route, facts, access, !origin.mayUsePeers());
    this.peerSender = new PeerSender(context, origin, forward, attempts, requestLog, binding);
    this.selection =
        new EndpointSelection(context, route, group, facts, flow, origin, forward, binding, search);
    this.sender = new EndpointSender(selection, attempts, response, crashes, prompt, requestLog);
    this.continuation = new StreamContinuation(selection, sender, avoid, wait);
    this.silence = new SilenceWatch(this, selection, sender, peerSender, avoid, open);
  }

  /** Returns when the request arrived, in milliseconds. */
  long arrivedAt() {
    return origin.arrivedAt();
  }

  /** Starts the request. */
  public synchronized void start() {
    context.stop().opened(this);
    long leftMs = origin.remainingMs(now()) + EndpointTimeouts.DEADLINE_SLACK_MS;
    deadlineTimer =
        context.loop().schedule(this::deadlinePassed, Math.max(0, leftMs), TimeUnit.MILLISECONDS);
    response.listen(this::callerLeft, this::resumeStream);
    if (!completed) {
      dispatch();
    }
  }

  /** Dispatches again because an endpoint holds or loads the adapter. */
  void retryDispatch() {
    dispatchIn(ResumeDelay.READ_DELAY_MS);
  }

  /** Dispatches again after a time, in milliseconds, if the request waits. */
  synchronized void dispatchIn(long delayMs) {
    if (wait.isWaiting() && !completed) {
      wait.dispatchIn(delayMs);
    }
  }

  /**
   * Called when a data centre has no free slot. Ignored unless this request has requested a load
   * there, since other replies do not affect its position in a queue.
   */
  synchronized void loadRejected(DataCentreId dataCentre, long queueWaitMs) {
    if (wait.isWaiting() && !completed && search.loadRejected(dataCentre, queueWaitMs)) {
      wait.dispatchIn(ResumeDelay.READ_DELAY_MS);
    }
  }

  /** Called when a coordinator is disconnected; loads that are queued there are lost. */
  synchronized void coordinatorLost(DataCentreId dataCentre) {
    if (wait.isWaiting() && !completed && search.coordinatorLost(dataCentre)) {
      wait.dispatchIn(ResumeDelay.READ_DELAY_MS);
    }
  }

  /** Dispatches the request once the caller's connection has been read lately. */
  private void dispatch() {
    wait.stop();
    if (forward.caller().isRecent()) {
      dispatchNow();
    } else {
      forward.caller().afterNextRead(this::dispatchAfterRead);
    }
  }

  private synchronized void dispatchAfterRead() {
    if (!completed) {
      dispatchNow();
    }
  }

  private void dispatchNow() {
    try {
      chooseAndSend();
    } catch (RuntimeException e) {
      requestLog.failed(e);
      endOpen(
          ErrorKind.INTERNAL,
          "exception",
          () -> end("failed_", ErrorKind.INTERNAL, OptionalLong.empty()));
    }
  }

  private void chooseAndSend() {
    long now = now();
    if (origin.remainingMs(now) < AttemptCount.MIN_REMAINING_MS) {
      deadlinePassed();
      return;
    }
    Optional<ErrorKind> denied = sender.hasRun() ? Optional.empty() : access.recheck().get();
    if (denied.isPresent()) {
      end("refused_", denied.get(), denied.get().comeBackMillis());
      return;
    }
    if (crashes.isRefused()) {
      giveUp(new Choice.Refuse(ErrorKind.PROMPT_CRASHES_ENDPOINTS, 0));
      return;
    }
    if (isTooLate(now)) {
      rejectForStop();
      return;
    }
    if (context.peers().isNeeded() && sendThroughPeer()) {
      return;
    }
    if (context.peers().isNeeded() && !context.peers().path().isReceiving()) {
      refuseOrFail(Choice.Refuse.of(ErrorKind.ENDPOINTS_UNREACHABLE));
      return;
    }
    search.excludeOverdue(now);
    Demand demand = selection.demand(avoid, now);
    Choice choice = selection.choose(demand, now);
    if (continuation.tryPause(choice, now)) {
      return;
    }
    if (context.stop().isStarted() && isTooLate(now + choice.delayMs(wait.countBefore()))) {
      rejectForStop();
    } else if (choice instanceof Choice.Send send) {
      search.copyFound();
      prompt
          .turn(send, demand, now)
          .ifPresentOrElse(turn -> send(turn, demand, now), () -> prompt.await(wait, now));
    } else if (choice instanceof Choice.AwaitLoad load) {
      search.loadFound();
      wait.start(WaitTimes.Kind.LOAD, now, load.waitMs() + 1);
    } else if (choice instanceof Choice.AwaitEndpoint wait) {
      awaitEndpoint(wait, now);
    } else if (choice instanceof Choice.RequestLoad load) {
      requestLoad(load, demand, now);
    } else if (choice instanceof Choice.Refuse refusal
        && search.asksAnew(refusal, origin.waitedMs(now) < route.targetMs())) {
      wait.start(WaitTimes.Kind.SLOT, now, EndpointTimeouts.COORDINATOR_CHECK_MS);
    } else if (choice instanceof Choice.Refuse refusal) {
      refuseOrFail(search.preferOverloaded(refusal));
    }
  }

  /** Returns whether the process ends before a request that is sent at a time; one that ran may. */
  private boolean isTooLate(long sentAt) {
    return !sender.hasRun() && !context.stop().allowsSend(route, sentAt);
  }

  private void rejectForStop() {
    end("refused_", ErrorKind.DRAINING, ErrorKind.DRAINING.comeBackMillis());
  }

  @Override
  public synchronized void rejectIfLate() {
    if (!completed && wait.isWaiting() && isTooLate(now())) {
      rejectForStop();
    }
  }

  @Override
  public synchronized void endForStop() {
    endOpen(ErrorKind.STOPPED_AFTER_START, "stop", this::rejectForStop);
  }

  private void awaitEndpoint(Choice.AwaitEndpoint choice, long now) {
    long sentInMs = choice.delayMs(wait.countBefore());
    if (sentInMs + choice.responseMs() > origin.remainingMs(now) || !attempts.maySend(now)) {
      refuseOrFail(new Choice.Refuse(ErrorKind.OVERLOADED, Math.max(RETRY_AFTER_MS, sentInMs)));
      return;
    }
    wait.startForEndpoint(now, Math.min(EndpointTimeouts.ENDPOINT_CHECK_MS, choice.waitMs() + 1));
  }

  private void requestLoad(Choice.RequestLoad load, Demand demand, long now) {
    LoadRequest loadRequest = selection.loadRequest(load, demand, load.waits(), now);
    if (!search.send(context.adapters(), load, loadRequest, now)) {
      search.exclude();
      dispatch();
      return;
    }
    wait.start(
        WaitTimes.Kind.SLOT,
        now,
        load.another() ? EndpointTimeouts.COPY_WAIT_MS : search.overdueAt() - now);
  }

  @Override
  public synchronized void dispatchIfWaiting() {
    if (wait.isWaiting() && !completed) {
      dispatch();
    }
  }

  private void send(Choice.Send choice, Demand demand, long now) {
    Optional<EndpointSender.Permit> permit = sender.permit(choice, demand, now);
    if (permit.isEmpty()) {
      dispatch();
    } else if (sender.isAllowed(permit.get(), now)) {
      EndpointAttempt sent = sender.send(this, choice, permit.get(), demand, now);
      open.add(sent);
      silence.awaitAnswer(sent);
    } else {
      refuseOrFail(new Choice.Refuse(ErrorKind.OVERLOADED, RETRY_AFTER_MS));
    }
  }

  /** Sends the request through a peer; returns false if there is none or no send is allowed. */
  private boolean sendThroughPeer() {
    Optional<PeerAttempt> sent = sendThroughPeer(avoid, now());
    sent.ifPresent(open::add);
    return sent.isPresent();
  }

  /** Sends the request through a peer that is not to be avoided, if that is possible. */
  Optional<PeerAttempt> sendThroughPeer(AvoidedRecipients avoided, long now) {
    long timeoutMs = origin.remainingMs(now) + EndpointTimeouts.CALL_SLACK_MS;
    Optional<PeerAttempt> sent = peerSender.send(this, avoided, response.lastEventId(), timeoutMs);
    sent.ifPresent(attempt -> search.reset());
    return sent;
  }

  /** Returns whether the request is open and an attempt is the latest one that may answer. */
  boolean isLatest(RelayAttempt attempt) {
    return !completed && open.latest().filter(one -> one == attempt).isPresent();
  }

  /** Returns whether the answer of an attempt does not matter any more. */
  private boolean isIgnored(RelayAttempt from) {
    return completed || !open.contains(from);
  }

  /** Called when status and headers of an answer arrive; returns the answer's class. */
  synchronized AnswerClass began(RelayAttempt from, int status, HttpHeaders headers) {
    AnswerClass answer = context.endpoints().classify(status, headers);
    EndpointNotice notice = context.endpoints().notice(status, headers);
    long now = now();
    requestLog.noticed(from, notice, from.recipient.noticed(notice, answer.isByEndpoint(), now));
    if (isIgnored(from)) {
      return answer;
    }
    if (answer == AnswerClass.SUCCESS) {
      silence.answers(from);
      from.recipient.begun(now);
      if (from.isStream(answer)) {
        binding.headSent(from);
        response.begin(status, headers, from.software());
        attempts.streamBegun();
        silence.awaitEvent(from);
      }
    }
    return answer;
  }

  long now() {
    return context.clock().millis();
  }

  /** Forwards the complete events of a stream; returns how many bytes of the next one it holds. */
  synchronized int received(RelayAttempt from, byte[] part) {
    if (isIgnored(from)) {
      return 0;
    }
    from.recipient.progress(now());
    if (!response.hasRoomFor(part)) {
      from.cutOff("an event is too long");
    } else if (response.write(part, () -> binding.sendsEvent(from))) {
      silence.eventSent(from);
    }
    return response.position().partialBytes();
  }

  private synchronized void resumeStream() {
    if (!completed) {
      open.latest().ifPresent(silence::resume);
    }
  }

  /** Ends a stream that is complete; one that an endpoint has broken off is lost. */
  synchronized void streamEnded(RelayAttempt from, BodyFraming framing) {
    if (isIgnored(from)) {
      return;
    }
    if (!response.isComplete(framing)) {
      from.brokenOff();
      broken(from, "stream ended inside an event or without any");
      return;
    }
    from.recipient.ended(Recipient.Ending.ANSWERED, now());
    crashes.answered();
    context.stop().answered(route, now() - from.sentAt);
    finish("answered", 0);
    response.end();
  }

  /** Forwards a complete answer, or retries after a failure. */
  synchronized void answered(
      RelayAttempt from, AnswerClass answer, int status, RelayAttempt.Body body) {
    if (isIgnored(from)) {
      return;
    }
    long now = now();
    boolean success = answer == AnswerClass.SUCCESS;
    from.recipient.ended(success ? Recipient.Ending.ANSWERED : Recipient.Ending.FAILED, now);
    from.countRun(attempts);
    if (from.endpoint().isPresent()) {
      crashes.answered();
    }
    if (!success) {
      from.avoidFrom(avoid);
      failure.keep(answer, status, body);
      if (silence.awaitsOther(from) || tryRepeat(now)) {
        return;
      }
    }
    if (response.isStarted() || !answer.isPassedOn()) {
      endUnknown(ErrorKind.ENDPOINT_LOST_AFTER_START, "resumption failed with " + status);
      return;
    }
    context.metrics().time("sequoiapass_answer_ms", response.sinceArrival());
    context.stop().answered(route, now - from.sentAt);
    finish(success ? "answered" : "endpoint_failed", status);
    response.respond(status, body);
  }

  /** Called when the endpoint reports that it did not run the request. */
  synchronized void rejected(EndpointAttempt from, AnswerClass answer) {
    if (isIgnored(from)) {
      return;
    }
    attempts.rejected();
    requestLog.notRun(from, answer);
    if (!rejection.isEarly(from, answer, attempts.sends(), now())) {
      avoid.add(from.ticket.endpoint());
    }
    dispatchUnlessOpen(from);
  }

  /** Called when a peer has no answer of an endpoint. */
  synchronized void peerFailed(PeerAttempt from, PeerAttempt.PeerError error) {
    if (isIgnored(from)) {
      return;
    }
    requestLog.peerFailed(from, error.kind());
    from.recipient.ended(
        error.isOfPeer() ? Recipient.Ending.FAILED : Recipient.Ending.NO_BLAME, now());
    if (error.isOfPeer()) {
      attempts.refusedByPeer(error.hasSent());
      from.avoidFrom(avoid);
      dispatchUnlessOpen(from);
    } else if (error.kind().outcomeClass() == OutcomeClass.UNKNOWN) {
      from.countRun(attempts);
      if (!silence.awaitsOther(from)) {
        endUnknown(error.kind(), "a peer lost the endpoint");
      }
    } else {
      attempts.rejected();
      if (!silence.awaitsOther(from)) {
        refuseOrFail(new Choice.Refuse(error.kind(), error.retryAfterMs().orElse(RETRY_AFTER_MS)));
      }
    }
  }

  /** Called when no byte of the request reached the endpoint. */
  synchronized void unsent(RelayAttempt from, HttpFailure failure) {
    if (isIgnored(from)) {
      return;
    }
    from.recipient.connectionLost(now());
    from.recipient.ended(Recipient.Ending.FAILED, now());
    attempts.unsent();
    requestLog.lost("unsent", from, String.valueOf(failure.getMessage()), response.position());
    from.avoidFrom(avoid);
    dispatchUnlessOpen(from);
  }

  /** Dispatches the request after an attempt has ended, unless another one may still answer. */
  private void dispatchUnlessOpen(RelayAttempt ended) {
    if (!silence.awaitsOther(ended)) {
      dispatch();
    }
  }

  /** Called when the answer is lost or incomplete although the request may have run. */
  synchronized void broken(RelayAttempt from, String reason) {
    if (isIgnored(from)) {
      return;
    }
    long now = now();
    from.recipient.connectionLost(now);
    from.recipient.ended(from.lostEnding(), now);
    requestLog.lost("broken", from, reason, response.position());
    from.countRun(attempts);
    from.avoidFrom(avoid);
    if (!silence.awaitsOther(from) && !tryRepeat(now)) {
      endUnknown(ErrorKind.ENDPOINT_LOST_AFTER_START, reason);
    }
  }

  private boolean tryRepeat(long now) {
    boolean repeats = attempts.mayRepeat(now);
    if (repeats) {
      dispatch();
    }
    return repeats;
  }

  private void endUnknown(ErrorKind kind, String reason) {
    if (response.isStarted()) {
      abort(ErrorKind.STREAM_SHORT, reason);
    } else {
      end("failed_", kind, OptionalLong.empty());
    }
  }

  private synchronized void deadlinePassed() {
    endOpen(
        ErrorKind.DEADLINE_PASSED_AFTER_START,
        "deadline",
        () -> end("refused_", ErrorKind.DEADLINE_UNREACHABLE, OptionalLong.of(RETRY_AFTER_MS)));
  }

  /** Cancels the open attempts without counting them as failures of their endpoints. */
  private void abandonAttempts() {
    for (RelayAttempt attempt : open.all()) {
      attempt.cancel();
      attempt.recipient.ended(Recipient.Ending.NO_BLAME, now());
    }
  }

  /** Ends the request while sends may be open, unless it has ended. */
  private void endOpen(ErrorKind ifMayHaveRun, String reason, Runnable ifNotRun) {
    if (completed) {
      return;
    }
    abandonAttempts();
    if (response.isStarted()) {
      abort(ifMayHaveRun, reason);
    } else if (attempts.mayHaveRunHere()) {
      end("failed_", ifMayHaveRun, OptionalLong.empty());
    } else {
      ifNotRun.run();
    }
  }

  /** Before it gives up, a request that no connection of this daemon could carry goes to a peer. */
  private void refuseOrFail(Choice.Refuse refusal) {
    if (attempts.unsentCount() > 0 && sendThroughPeer()) {
      return;
    }
    giveUp(refusal);
  }

  private void giveUp(Choice.Refuse refusal) {
    if (continuation.trySearchAgain(refusal, now())) {
      return;
    }
    if (response.isStarted()) {
      abort(ErrorKind.STREAM_SHORT, "no other endpoint");
    } else if (attempts.hasRunHere()) {
      end("failed_", ErrorKind.ENDPOINT_LOST_AFTER_START, OptionalLong.empty());
    } else {
      StreamBinding.Refusal stated = binding.refusal(refusal);
      end("refused_", stated.kind(), RetryDelay.of(stated, flow, origin.remainingMs(now())));
    }
  }

  private void end(String outcome, ErrorKind kind, OptionalLong retryAfterMs) {
    finish(failure.outcomeOr(outcome + kind), failure.statusOr(kind.httpStatus()));
    failure.respondOr(response, () -> response.error(kind, retryAfterMs, attempts.hasSent()));
  }

  /** Aborts a stream, so that the caller does not take it for complete. */
  private void abort(ErrorKind kind, String reason) {
    finish("cut_" + kind + "_" + reason, 0);
    response.abort();
  }

  private synchronized void callerLeft() {
    if (completed) {
      return;
    }
    requestLog.callerLeft(open.latest().orElse(null), forward.caller());
    abandonAttempts();
    finish("caller_left", 0);
  }

  private void finish(String outcome, int status) {
    completed = true;
    context.stop().ended(this);
    wait.stop();
    search.end();
    prompt.end();
    deadlineTimer.cancel(false);
    silence.stop();
    finished.run();
    if (!sender.hasRun()) {
      access.notRun().run();
    }
    requestLog.ended(
        outcome, status, response.summary(wait.times(), open.latest().orElse(null)), attempts);
  }
}
