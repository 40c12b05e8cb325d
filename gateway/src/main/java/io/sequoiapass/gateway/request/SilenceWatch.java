package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.process.Choice;
import io.sequoiapass.gateway.process.Demand;
import io.sequoiapass.gateway.process.EndpointInquiries;
import io.sequoiapass.gateway.process.Recipient;
import java.util.Optional;
import java.util.Set;

/**
 * Watches the attempts of one request for silence, and sends the request a second time if one of
 * them sends nothing for too long.
 *
 * <p>Silence is no failure: a sound endpoint may be silent and continue. An attempt that has not
 * begun to answer is therefore kept until a second one answers. A stream that has begun, here or
 * before its caller took it up, may go on at one endpoint only, so it leaves a silent one only on
 * evidence; see {@link StreamMove}. Used under the request's lock.
 */
final class SilenceWatch {

  private final RelayedRequest request;
  private final RelayContext context;
  private final EndpointSelection selection;
  private final EndpointSender sender;
  private final PeerSender peerSender;
  private final AvoidedRecipients avoid;
  private final OpenAttempts open;
  private final AttemptCount attempts;
  private final ResponseRelay response;
  private final RequestLog log;
  private final ResponseTimer timer;
  private final StreamMove move;

  /**
   * Creates a watch of a request that has not been sent yet.
   *
   * @param request the request
   * @param selection chooses its endpoints
   * @param sender sends it to endpoints
   * @param peerSender sends it through peers
   * @param avoid where it must not be sent again
   * @param open its attempts
   */
  SilenceWatch(
      RelayedRequest request,
      EndpointSelection selection,
      EndpointSender sender,
      PeerSender peerSender,
      AvoidedRecipients avoid,
      OpenAttempts open) {
    this.request = request;
    this.context = selection.context();
    this.selection = selection;
    this.sender = sender;
    this.peerSender = peerSender;
    this.avoid = avoid;
    this.open = open;
    this.attempts = sender.attempts();
    this.response = sender.response();
    this.log = sender.log();
    this.timer = new ResponseTimer(context.loop());
    this.move = new StreamMove(selection, sender);
  }

  /** Waits for an attempt to begin to answer. */
  void awaitAnswer(RelayAttempt attempt) {
    long silenceMs = attempt.silenceMs();
    await(attempt, isContinued() ? Math.max(silenceMs, inquiryMs()) : silenceMs);
  }

  /** Waits for the next event of a stream. */
  void awaitEvent(RelayAttempt attempt) {
    await(attempt, inquiryMs());
  }

  /** Returns after which silence to ask, so that the answers are there once a stream stalls. */
  private long inquiryMs() {
    return EndpointTimeouts.stallMs(selection.route()) - EndpointInquiries.TIMEOUT_MS;
  }

  /** Returns whether the caller has received a part of the stream. */
  private boolean isContinued() {
    return response.isStarted() || response.lastEventId().isPresent();
  }

  private void await(RelayAttempt attempt, long silenceMs) {
    timer.cancel();
    move.reset();
    if (attempts.isReplaceable() && attempt.endpoint().isPresent()) {
      schedule(attempt, new ResponseWatchdog(request.now(), silenceMs), request.now());
    }
  }

  private void schedule(RelayAttempt attempt, ResponseWatchdog watch, long now) {
    timer.schedule(watch, now, due -> check(attempt, due));
  }

  /** Waits for the next event, or stops reading if the caller does not keep up. */
  void eventSent(RelayAttempt attempt) {
    if (response.isWritable()) {
      awaitEvent(attempt);
    } else {
      timer.cancel();
      attempt.stream.pause();
    }
  }

  /** Reads on and waits for the next event, since the caller has received what it was sent. */
  void resume(RelayAttempt attempt) {
    if (attempt.stream != null) {
      attempt.stream.resume();
      awaitEvent(attempt);
    }
  }

  /** Ends the watch. */
  void stop() {
    timer.cancel();
  }

  private void check(RelayAttempt attempt, ResponseWatchdog watch) {
    synchronized (request) {
      long now = request.now();
      if (timer.isScheduled(watch)
          && request.isLatest(attempt)
          && !attempt.isCompleted()
          && attempts.mayReplace(now)) {
        boolean due = watch.checkTimeout(isStalled(attempt, now), now);
        if (!due || !trySendAnother(attempt, now)) {
          schedule(attempt, watch, now);
        }
      }
    }
  }

  /** Returns whether the request need not wait for its timeout. */
  private boolean isStalled(RelayAttempt attempt, long now) {
    return isContinued()
        ? attempt.isCutOff(now) && !isReceiving()
        : attempt.isCutOff(now) || attempt.recipient.isStalled(now);
  }

  /**
   * Returns whether a stream may leave its endpoint while the path is lost. Endpoints that are
   * heard over open connections cannot be asked, but are what the silent one is compared with.
   */
  private boolean mayLeave(RelayAttempt silent, long now) {
    return !isReceiving() || silent.silentForMs(now) >= EndpointTimeouts.stallMs(selection.route());
  }

  /** Returns whether open connections to endpoints live on, although new ones may not open. */
  private boolean isReceiving() {
    return context.peers().path().isReceiving();
  }

  /** An exception leaves the attempt as it is, and the next check tries again. */
  private boolean trySendAnother(RelayAttempt silent, long now) {
    try {
      return sendAnother(silent, now);
    } catch (RuntimeException e) {
      log.failed(e);
      return false;
    }
  }

  private boolean sendAnother(RelayAttempt silent, long now) {
    if (sender.crashes().isRefused()) {
      return false;
    }
    Optional<? extends RelayAttempt> next;
    if (context.peers().isNeeded()) {
      next = isContinued() && !mayLeave(silent, now) ? Optional.empty() : throughPeer(silent, now);
    } else {
      next = isContinued() ? moveStream(silent, now) : toEndpoint(silent, now);
    }
    next.ifPresent(attempt -> sent(silent, attempt));
    return next.isPresent();
  }

  private Optional<PeerAttempt> throughPeer(RelayAttempt silent, long now) {
    AvoidedRecipients others = avoid.with(silent);
    boolean moves =
        FailoverPolicy.throughPeer(peerSender.isAvailable(others), () -> attempts.budgetAllows(now))
            == FailoverPolicy.Step.MOVE;
    return moves ? request.sendThroughPeer(others, now) : Optional.empty();
  }

  private Optional<EndpointAttempt> moveStream(RelayAttempt silent, long now) {
    AvoidedRecipients others = avoid.with(silent);
    selection.group().silent(now).forEach(others::add);
    return silent instanceof EndpointAttempt attempt
        ? move.trySend(request, attempt, others, now)
        : Optional.empty();
  }

  private Optional<EndpointAttempt> toEndpoint(RelayAttempt silent, long now) {
    silent.recipient.stalled(now);
    AvoidedRecipients others = avoid.with(silent);
    Set<EndpointId> alsoSilent = selection.group().silent(now);
    alsoSilent.forEach(others::add);
    Demand demand = selection.demand(others, now);
    Choice choice = selection.choose(demand, now);
    FailoverPolicy.Step step =
        FailoverPolicy.next(choice, silent.endpoint(), () -> attempts.budgetAllows(now));
    if (step == FailoverPolicy.Step.MOVE) {
      return sender
          .prompt()
          .turn((Choice.Send) choice, demand, now)
          .flatMap(turn -> sender.trySend(request, turn, demand, now));
    }
    boolean isOnlyOne =
        alsoSilent.stream().allMatch(one -> silent.endpoint().filter(one::equals).isPresent());
    if (step == FailoverPolicy.Step.LOAD && isOnlyOne) {
      selection.requestLoad(silent, (Choice.RequestLoad) choice, demand, now);
    }
    return Optional.empty();
  }

  private void sent(RelayAttempt silent, RelayAttempt next) {
    silent.avoidFrom(avoid);
    if (isContinued()) {
      open.add(next);
      leave(silent);
    } else {
      log.silent(silent);
      open.addBeside(next).ifPresent(this::leave);
    }
    awaitAnswer(next);
  }

  /** Keeps the attempt that has begun to answer, and ends the other one. */
  void answers(RelayAttempt answering) {
    timer.cancel();
    boolean wasSilent = !request.isLatest(answering);
    open.select(answering)
        .ifPresent(other -> end(other, wasSilent ? Recipient.Ending.NO_BLAME : other.lostEnding()));
  }

  /** Ends an attempt that is silent. */
  private void leave(RelayAttempt silent) {
    silent.recipient.connectionLost(request.now());
    end(silent, silent.lostEnding());
  }

  private void end(RelayAttempt other, Recipient.Ending ending) {
    other.cancel();
    other.recipient.ended(ending, request.now());
    log.replaced(other, response.position());
    other.countRun(attempts);
  }

  /**
   * Returns whether another attempt may still answer after one has ended without an answer, and
   * waits for it.
   */
  boolean awaitsOther(RelayAttempt ended) {
    Optional<RelayAttempt> other = open.remove(ended);
    other.ifPresent(this::awaitAnswer);
    return other.isPresent();
  }
}
