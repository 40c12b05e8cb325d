package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.request.AttemptAction.Mode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * State machine of the attempts of one request, from the first attempt to the outcome; runs on the
 * entry daemon.
 *
 * <pre>{@code
 * RequestAttempts attempts = new RequestAttempts(spec, settings, budget, Optional.empty());
 * perform(attempts.begin(clock.millis()));
 * perform(attempts.handle(new AttemptEvent.OwnerLost(1), clock.millis()));
 * }</pre>
 *
 * <p>A request ends exactly once. At-most-once work is granted its start once, and is sent again
 * only with proof that the granted attempt did not run. Repeatable work is retried on other
 * endpoints within its deadline and the retry budget, and resumes after the tokens that the caller
 * has received. Guarded by the lock of one shard; not safe for use by several threads.
 */
public final class RequestAttempts {

  private static final int NO_SOURCE = 0;
  private static final long NEVER = Long.MAX_VALUE;

  private final RequestSpec spec;
  private final AttemptSettings settings;
  private final RetryBudget budget;
  private final Optional<HedgePolicy> hedging;
  private final AnswerAssembler answer;
  private final List<Attempt> attempts = new ArrayList<>();
  private final Set<EndpointId> avoid = new LinkedHashSet<>();
  private List<AttemptAction> actions = new ArrayList<>();
  private int source = NO_SOURCE;
  private boolean ended;
  private boolean callerLeft;
  private boolean paused;
  private ErrorKind lastNotRun = ErrorKind.NO_ENDPOINT;
  private ErrorKind firstUnknown;
  private OptionalLong comeBackMillis = OptionalLong.empty();
  private long hedgeAt = NEVER;
  private long gapAt = NEVER;
  private long stallAt = NEVER;
  private long resendAt = NEVER;
  private Attempt resendAttempt;
  private int moveCount;
  private int ownerlessAttempts;

  /**
   * Creates the attempts of one request; sends nothing.
   *
   * @param spec the request
   * @param settings the limits
   * @param budget the retry budget, shared by all requests of a shard
   * @param hedging the hedging policy, or empty for no hedging
   */
  public RequestAttempts(
      RequestSpec spec,
      AttemptSettings settings,
      RetryBudget budget,
      Optional<HedgePolicy> hedging) {
    this.spec = Objects.requireNonNull(spec, "spec");
    this.settings = Objects.requireNonNull(settings, "settings");
    this.budget = Objects.requireNonNull(budget, "budget");
    this.hedging = Objects.requireNonNull(hedging, "hedging");
    this.answer = new AnswerAssembler(spec.id(), spec.runsOn(), settings.maxBufferedTokens());
  }

  /** Sends the first attempt. */
  public List<AttemptAction> begin(long nowMillis) {
    if (!attempts.isEmpty()) {
      throw new IllegalStateException("attempts already started: " + spec.id());
    }
    budget.requestArrived();
    if (nowMillis >= spec.deadlineMillis()) {
      end(Outcome.notRun(ErrorKind.DEADLINE_PASSED, NotRunProof.neverLeftEntry()));
      return takeActions();
    }
    hedging.map(policy -> hedgeAt(policy, nowMillis)).ifPresent(at -> hedgeAt = at.orElse(NEVER));
    send(Mode.RUN, Optional.empty());
    return takeActions();
  }

  /** Handles an event and returns the resulting actions, in order. */
  public List<AttemptAction> handle(AttemptEvent event, long nowMillis) {
    if (ended) {
      afterEnd(event);
    } else if (nowMillis >= spec.deadlineMillis() && !(event instanceof AttemptEvent.Frame)) {
      expire();
      afterEnd(event);
    } else {
      dispatch(event, nowMillis);
    }
    return takeActions();
  }

  /** Returns when the next {@link AttemptEvent.Tick} is due. */
  public long nextTickMillis() {
    return ended
        ? NEVER
        : Math.min(
            Math.min(spec.deadlineMillis(), resendAt), Math.min(hedgeAt, Math.min(gapAt, stallAt)));
  }

  /** Returns whether the outcome was determined. */
  public boolean hasEnded() {
    return ended;
  }

  /** Returns the number of attempts so far. */
  public int attemptCount() {
    return attempts.size();
  }

  private OptionalLong hedgeAt(HedgePolicy policy, long nowMillis) {
    return policy.hedgeAt(spec.priority(), spec.repeatability(), nowMillis, spec.deadlineMillis());
  }

  private void dispatch(AttemptEvent event, long nowMillis) {
    if (event instanceof AttemptEvent.Frame frame) {
      frame(frame.frame(), nowMillis);
    } else if (event instanceof AttemptEvent.Routed routed) {
      open(routed.attempt()).ifPresent(attempt -> attempt.routed(routed.endpoint()));
    } else if (event instanceof AttemptEvent.Unroutable unroutable) {
      open(unroutable.attempt())
          .ifPresent(attempt -> unroutable(attempt, unroutable.kind(), nowMillis));
    } else if (event instanceof AttemptEvent.StartRequested request) {
      startRequested(request.attempt());
    } else if (event instanceof AttemptEvent.StartRecorded recorded) {
      open(recorded.attempt()).filter(Attempt::isRecordingStart).ifPresent(this::grant);
    } else if (event instanceof AttemptEvent.StartRefused refused) {
      open(refused.attempt())
          .filter(Attempt::isRecordingStart)
          .ifPresent(attempt -> startRefused(attempt, refused.kind()));
    } else if (event instanceof AttemptEvent.Refused refused) {
      open(refused.attempt()).ifPresent(attempt -> refused(attempt, refused, nowMillis));
    } else if (event instanceof AttemptEvent.OwnerLost lost) {
      open(lost.attempt()).ifPresent(this::ownerLost);
    } else if (event instanceof AttemptEvent.EndpointLost lost) {
      open(lost.attempt())
          .ifPresent(attempt -> endpointLost(attempt, ErrorKind.ENDPOINT_LOST_AFTER_START));
    } else if (event instanceof AttemptEvent.Flow change) {
      updateFlow(change.paused(), nowMillis);
    } else if (event instanceof AttemptEvent.CallerLeft) {
      callerLeft();
    } else {
      tick(nowMillis);
    }
  }

  /** Denies start requests and cancels attempts that arrive after the end. */
  private void afterEnd(AttemptEvent event) {
    if (event instanceof AttemptEvent.StartRequested request) {
      actions.add(new AttemptAction.DenyStart(request.attempt()));
    } else if (event instanceof AttemptEvent.Routed routed) {
      actions.add(new AttemptAction.Cancel(routed.attempt()));
    }
  }

  // Start of the work.

  private void startRequested(int number) {
    Optional<Attempt> requesting = open(number).filter(Attempt::mayRun);
    if (requesting.isEmpty()) {
      // An attempt that timed out has been counted as not run, or was moved, and its owner may
      // still request the start. Granting it would run the request twice, so a closed attempt is
      // always denied.
      actions.add(new AttemptAction.DenyStart(number));
      return;
    }
    Attempt attempt = requesting.get();
    attempt.markResponded();
    if (!attempt.awaitsGrant()) {
      return;
    }
    if (spec.keyed()) {
      attempt.recordStart();
      actions.add(new AttemptAction.RecordStart(number));
    } else {
      grant(attempt);
    }
  }

  private void grant(Attempt attempt) {
    attempt.grant();
    actions.add(new AttemptAction.GrantStart(attempt.number()));
  }

  private void startRefused(Attempt attempt, ErrorKind kind) {
    attempt.closeNotRun(NotRunProof.startNotGranted());
    actions.add(new AttemptAction.DenyStart(attempt.number()));
    if (kind.outcomeClass() == OutcomeClass.UNKNOWN) {
      end(Outcome.unknown(kind));
    } else {
      lastNotRun = kind;
      endFailed();
    }
  }

  // Answer.

  private void frame(AnswerFrame frame, long nowMillis) {
    Optional<Attempt> sender = open(frame.attempt());
    if (sender.isEmpty() || !frame.request().equals(spec.id())) {
      return;
    }
    Attempt attempt = sender.get();
    attempt.markProducedTokens();
    if (source == NO_SOURCE) {
      takeAsSource(attempt);
    }
    switch (answer.accept(frame)) {
      case ACCEPTED, BUFFERED -> deliverReady(nowMillis);
      case MISMATCH -> abandon(attempt, ErrorKind.ANSWER_MISMATCH);
      case OVERFLOW -> abandon(attempt, ErrorKind.STREAM_SHORT);
      default -> {
        // DUPLICATE or UNEXPECTED: nothing new and nothing missing.
      }
    }
  }

  private void takeAsSource(Attempt attempt) {
    source = attempt.number();
    answer.selectAttempt(source);
    hedgeAt = NEVER;
    for (Attempt other : attempts) {
      if (other.isOpen() && other != attempt) {
        other.closeUnresolved();
        actions.add(new AttemptAction.Cancel(other.number()));
      }
    }
  }

  private void deliverReady(long nowMillis) {
    List<AnswerFrame.Token> ready = answer.drain();
    if (!callerLeft) {
      ready.forEach(token -> actions.add(new AttemptAction.Deliver(token)));
    }
    stallAt = paused ? NEVER : nowMillis + settings.stallMillis();
    if (!answer.hasGap() || paused) {
      gapAt = NEVER;
    } else if (gapAt == NEVER || !ready.isEmpty()) {
      gapAt = nowMillis + settings.gapMillis();
    }
    if (answer.isComplete()) {
      end(new Outcome.Answered(spec.runsOn(), answer.nextIndex()));
    }
  }

  /**
   * Stops the timers while the owner has been requested to stop reading, and restarts them
   * afterwards. Otherwise a silence caused by the caller would be taken for a frozen owner, and the
   * stream would be abandoned and run again each time that the caller reads slowly.
   */
  private void updateFlow(boolean newPaused, long nowMillis) {
    paused = newPaused;
    boolean streaming = source != NO_SOURCE && open(source).isPresent();
    stallAt = paused || !streaming ? NEVER : nowMillis + settings.stallMillis();
    gapAt = paused || !streaming || !answer.hasGap() ? NEVER : nowMillis + settings.gapMillis();
  }

  // Failures.

  private void unroutable(Attempt attempt, ErrorKind kind, long nowMillis) {
    attempt.closeNotRun(NotRunProof.neverLeftEntry());
    lastNotRun = kind;
    if (anyOpen()) {
      return;
    }
    if (attempt.number() > 1) {
      // The previous owner has failed, and its successor takes over when the lease has expired.
      // Ending the request here would cut off a partly delivered answer although the caller has
      // time left; nothing is sent meanwhile, so neither budget nor attempts are used.
      ownerlessAttempts++;
      resendAttempt = attempt;
      resendAt = nowMillis + settings.ownerRetryIntervalMillis();
    } else {
      endFailed();
    }
  }

  private void refused(Attempt attempt, AttemptEvent.Refused refused, long nowMillis) {
    // A refusal that contradicts received tokens or a grant of this daemon proves nothing: the
    // frame or the owner is faulty. Accepting it as proof would report NOT RUN for work that ran.
    boolean ownersProof =
        refused.proof().situation() == NotRunProof.Situation.WITHDRAWN_FROM_QUEUE
            || refused.proof().situation() == NotRunProof.Situation.REFUSED_BY_ENDPOINT;
    if (!ownersProof
        || attempt.hasProducedTokens()
        || refused.kind().outcomeClass() != OutcomeClass.NOT_RUN) {
      endpointLost(attempt, ErrorKind.ENDPOINT_LOST_AFTER_START);
      return;
    }
    attempt.closeNotRun(refused.proof());
    lastNotRun = refused.kind();
    comeBackMillis = refused.comeBackMillis();
    if (refused.kind() == ErrorKind.DEADLINE_PASSED) {
      // No endpoint would start it in the time left; other attempts would end the same way.
      if (!anyOpen()) {
        endFailed();
      }
      return;
    }
    boolean isMove =
        refused.kind() == ErrorKind.DRAINING
            && refused.proof().situation() == NotRunProof.Situation.WITHDRAWN_FROM_QUEUE;
    if (isMove && moveCount < settings.maxMoves()) {
      move(attempt, nowMillis);
      return;
    }
    attempt.endpoint().ifPresent(avoid::add);
    runElsewhere();
  }

  /**
   * Continues after a planned change of the endpoint's owner. Counting it as a failure would use up
   * the attempts and the budget in a rolling restart, and the caller would be refused although no
   * endpoint is missing; avoiding the endpoint would lose the adapter loaded there. The pause and
   * the bound on moves keep two owners with different tables from passing the request back and
   * forth.
   */
  private void move(Attempt attempt, long nowMillis) {
    moveCount++;
    if (!anyOpen()) {
      resendAttempt = attempt;
      resendAt = nowMillis + settings.movePauseMillis();
    }
  }

  private void resend() {
    resendAt = NEVER;
    if (!anyOpen()) {
      boolean attaches = resendAttempt.mode() != Mode.RUN;
      send(resendAttempt.mode(), attaches ? resendAttempt.streamEndpoint() : Optional.empty());
    }
  }

  private void ownerLost(Attempt attempt) {
    close(attempt, ErrorKind.ENDPOINT_LOST_AFTER_START);
    if (anyOpen()) {
      return;
    }
    if (!attempt.hasResponded() && attempt.mode() == Mode.RUN && mayRunAgain()) {
      // There is no stream to resume. Another endpoint can start immediately, this one only once
      // its next owner is known.
      attempt.endpoint().ifPresent(avoid::add);
      runAgain(Mode.RUN, Optional.empty(), RetryBudget.Use.OWNER_LOST);
      return;
    }
    boolean attachable = spec.resumable() && attempt.endpoint().isPresent();
    if (mayRunAgain()) {
      runAgain(
          attachable ? Mode.ATTACH_OR_RUN : Mode.RUN, attempt.endpoint(), RetryBudget.Use.RETRY);
    } else if (attachable && countedAttempts() < settings.maxAttempts()) {
      // The engine keeps the stream for a while; resuming it does not run the work again.
      send(Mode.ATTACH_ONLY, attempt.endpoint());
    } else {
      endFailed();
    }
  }

  private void endpointLost(Attempt attempt, ErrorKind kind) {
    close(attempt, kind);
    attempt.endpoint().ifPresent(avoid::add);
    runElsewhere();
  }

  private void abandon(Attempt attempt, ErrorKind kind) {
    actions.add(new AttemptAction.Cancel(attempt.number()));
    endpointLost(attempt, kind);
  }

  private void close(Attempt attempt, ErrorKind unknownKind) {
    if (spec.repeatability().needsStartGrant() && attempt.mayRun() && !attempt.everGranted()) {
      // The owner cannot start without a grant, and a closed attempt is never granted.
      attempt.closeNotRun(NotRunProof.startNotGranted());
      lastNotRun = ErrorKind.ENDPOINT_LOST_BEFORE_START;
    } else {
      attempt.closeUnresolved();
      recordUnknown(unknownKind);
    }
    if (source == attempt.number()) {
      source = NO_SOURCE;
      gapAt = NEVER;
      stallAt = NEVER;
    }
  }

  private void recordUnknown(ErrorKind kind) {
    if (firstUnknown == null) {
      firstUnknown = kind;
    }
  }

  private void runElsewhere() {
    if (anyOpen()) {
      return;
    }
    if (mayRunAgain()) {
      runAgain(Mode.RUN, Optional.empty(), RetryBudget.Use.RETRY);
    } else {
      endFailed();
    }
  }

  private void runAgain(Mode mode, Optional<EndpointId> prefer, RetryBudget.Use purpose) {
    boolean resumes = answer.nextIndex() > 0;
    RetryBudget.Use use = resumes ? RetryBudget.Use.RESUME : purpose;
    if ((resumes && !spec.resumable())
        || countedAttempts() >= settings.maxAttempts()
        || !budget.take(use)) {
      endFailed();
      return;
    }
    send(mode, prefer);
  }

  private int countedAttempts() {
    return attempts.size() - moveCount - ownerlessAttempts;
  }

  private boolean mayRunAgain() {
    return spec.repeatability().mayRunAgain() || attempts.stream().noneMatch(Attempt::isUnresolved);
  }

  // Timers and the caller.

  private void tick(long nowMillis) {
    if (nowMillis >= resendAt) {
      resend();
    } else if (nowMillis >= gapAt) {
      open(source).ifPresent(attempt -> abandon(attempt, ErrorKind.STREAM_SHORT));
    } else if (nowMillis >= stallAt) {
      open(source).ifPresent(attempt -> abandon(attempt, ErrorKind.ENDPOINT_LOST_AFTER_START));
    } else if (nowMillis >= hedgeAt) {
      hedgeAt = NEVER;
      hedge();
    }
  }

  private void hedge() {
    if (countedAttempts() >= settings.maxAttempts() || !budget.take(RetryBudget.Use.HEDGE)) {
      return;
    }
    attempts.stream()
        .filter(Attempt::isOpen)
        .forEach(attempt -> attempt.endpoint().ifPresent(avoid::add));
    send(Mode.RUN, Optional.empty());
  }

  private void callerLeft() {
    callerLeft = true;
    if (isAtMostOnceWorkRunning()) {
      // An interrupted payment is worse than a complete one whose result the caller can query by
      // key.
      return;
    }
    closeAll(ErrorKind.CALLER_LEFT);
    lastNotRun = ErrorKind.CALLER_LEFT_BEFORE_START;
    endFailed();
  }

  private void expire() {
    if (!isAtMostOnceWorkRunning()) {
      closeAll(ErrorKind.DEADLINE_PASSED_AFTER_START);
      lastNotRun = ErrorKind.DEADLINE_PASSED;
    }
    recordUnknown(ErrorKind.DEADLINE_PASSED_AFTER_START);
    endFailed();
  }

  private boolean isAtMostOnceWorkRunning() {
    return spec.repeatability().needsStartGrant()
        && attempts.stream()
            .filter(Attempt::isOpen)
            .anyMatch(attempt -> attempt.everGranted() || !attempt.mayRun());
  }

  private void closeAll(ErrorKind unknownKind) {
    for (Attempt attempt : attempts) {
      if (attempt.isOpen()) {
        actions.add(new AttemptAction.Cancel(attempt.number()));
        close(attempt, unknownKind);
      }
    }
  }

  // Sending and ending.

  private void send(Mode mode, Optional<EndpointId> prefer) {
    Attempt attempt = new Attempt(attempts.size() + 1, mode, prefer);
    attempts.add(attempt);
    actions.add(
        new AttemptAction.Send(
            attempt.number(),
            mode,
            answer.nextIndex(),
            prefer,
            Collections.unmodifiableSet(new LinkedHashSet<>(avoid))));
  }

  private void endFailed() {
    if (attempts.stream().anyMatch(Attempt::isUnresolved)) {
      end(Outcome.unknown(answer.nextIndex() > 0 ? ErrorKind.STREAM_SHORT : firstUnknown));
      return;
    }
    NotRunProof proof =
        NotRunProof.ofAllAttempts(
            attempts.stream().filter(Attempt::mayRun).map(Attempt::proof).toList());
    OptionalLong comeBack =
        comeBackMillis.isPresent() ? comeBackMillis : lastNotRun.comeBackMillis();
    end(new Outcome.NotRun(lastNotRun, proof, comeBack));
  }

  private void end(Outcome outcome) {
    ended = true;
    actions.add(new AttemptAction.End(outcome));
  }

  private Optional<Attempt> open(int number) {
    return number < 1 || number > attempts.size()
        ? Optional.empty()
        : Optional.of(attempts.get(number - 1)).filter(Attempt::isOpen);
  }

  private boolean anyOpen() {
    return attempts.stream().anyMatch(Attempt::isOpen);
  }

  private List<AttemptAction> takeActions() {
    List<AttemptAction> taken = actions;
    actions = new ArrayList<>();
    return taken;
  }
}
