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
 * Decides, at the entry, everything about the attempts of one request until its outcome.
 *
 * <pre>{@code
 * RequestAttempts attempts = new RequestAttempts(spec, settings, budget, Optional.empty());
 * perform(attempts.begin(clock.millis()));
 * perform(attempts.on(new AttemptEvent.OwnerLost(1), clock.millis()));
 * }</pre>
 *
 * <p>It ends exactly once. Work that may not be repeated is granted its start once, and is sent
 * again only where a proof says that the granted attempt did not run. Repeatable work moves
 * elsewhere inside its deadline and under the retry budget, and goes on behind the tokens that the
 * caller has. Driven under the lock of one shard; not safe for use by several threads.
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
  private long moveAt = NEVER;
  private Attempt moved;
  private int moves;
  private int ownerless;

  /**
   * Creates the attempts of one request; nothing is sent yet.
   *
   * @param spec the request
   * @param settings the limits
   * @param budget shared by all requests of a shard
   * @param hedging when to hedge, or empty for never
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
    this.answer = new AnswerAssembler(spec.id(), spec.runsOn(), settings.maxHeldTokens());
  }

  /** Sends the first attempt. */
  public List<AttemptAction> begin(long nowMillis) {
    if (!attempts.isEmpty()) {
      throw new IllegalStateException("already begun: " + spec.id());
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

  /** Takes an event and returns what to do, in order. */
  public List<AttemptAction> on(AttemptEvent event, long nowMillis) {
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

  /** Returns when a {@link AttemptEvent.Tick} is due next. */
  public long nextTickMillis() {
    return ended
        ? NEVER
        : Math.min(
            Math.min(spec.deadlineMillis(), moveAt), Math.min(hedgeAt, Math.min(gapAt, stallAt)));
  }

  /** Returns whether the outcome was given. */
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
    } else if (event instanceof AttemptEvent.StartAsked asked) {
      startAsked(asked.attempt());
    } else if (event instanceof AttemptEvent.StartRecorded recorded) {
      open(recorded.attempt()).filter(Attempt::recordsStart).ifPresent(this::grant);
    } else if (event instanceof AttemptEvent.StartRefused refused) {
      open(refused.attempt())
          .filter(Attempt::recordsStart)
          .ifPresent(attempt -> startRefused(attempt, refused.kind()));
    } else if (event instanceof AttemptEvent.Refused refused) {
      open(refused.attempt()).ifPresent(attempt -> refused(attempt, refused, nowMillis));
    } else if (event instanceof AttemptEvent.OwnerLost lost) {
      open(lost.attempt()).ifPresent(this::ownerLost);
    } else if (event instanceof AttemptEvent.EndpointLost lost) {
      open(lost.attempt())
          .ifPresent(attempt -> endpointLost(attempt, ErrorKind.ENDPOINT_LOST_AFTER_START));
    } else if (event instanceof AttemptEvent.Flow flow) {
      flow(flow.paused(), nowMillis);
    } else if (event instanceof AttemptEvent.CallerLeft) {
      callerLeft();
    } else {
      tick(nowMillis);
    }
  }

  /** An owner that still waits must be told no, and a copy that got away must be dropped. */
  private void afterEnd(AttemptEvent event) {
    if (event instanceof AttemptEvent.StartAsked asked) {
      actions.add(new AttemptAction.DenyStart(asked.attempt()));
    } else if (event instanceof AttemptEvent.Routed routed) {
      actions.add(new AttemptAction.Cancel(routed.attempt()));
    }
  }

  // The start.

  private void startAsked(int number) {
    Optional<Attempt> asking = open(number).filter(Attempt::mayRun);
    if (asking.isEmpty()) {
      // An attempt that was given up on has been counted as not run, or moved; its owner may ask
      // late. A yes here would run the request twice, so a closed attempt never gets one.
      actions.add(new AttemptAction.DenyStart(number));
      return;
    }
    Attempt attempt = asking.get();
    attempt.heard();
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

  // The answer.

  private void frame(AnswerFrame frame, long nowMillis) {
    Optional<Attempt> sender = open(frame.attempt());
    if (sender.isEmpty() || !frame.request().equals(spec.id())) {
      return;
    }
    Attempt attempt = sender.get();
    attempt.produced();
    if (source == NO_SOURCE) {
      takeAsSource(attempt);
    }
    switch (answer.accept(frame)) {
      case TAKEN, HELD -> progress(nowMillis);
      case MISMATCH -> giveUp(attempt, ErrorKind.ANSWER_MISMATCH);
      case OVERFLOW -> giveUp(attempt, ErrorKind.STREAM_SHORT);
      default -> {
        // DOUBLED or STRAY: nothing is missing and nothing is new.
      }
    }
  }

  private void takeAsSource(Attempt attempt) {
    source = attempt.number();
    answer.source(source);
    hedgeAt = NEVER;
    for (Attempt other : attempts) {
      if (other.isOpen() && other != attempt) {
        other.closeUnresolved();
        actions.add(new AttemptAction.Cancel(other.number()));
      }
    }
  }

  private void progress(long nowMillis) {
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
    if (answer.isWhole()) {
      end(new Outcome.Answered(spec.runsOn(), answer.next()));
    }
  }

  /**
   * Stops the timers while the owner was told to stop reading, and starts them anew after it. A
   * silence that the caller made itself would be taken for a frozen owner: the stream would be
   * given up and run again, once for each time that the caller reads slowly.
   */
  private void flow(boolean nowPaused, long nowMillis) {
    paused = nowPaused;
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
      // The owner that had it is gone, and the next one comes when its lease has lapsed. Ending now
      // would take a half-read answer from a caller who has time; nothing is sent meanwhile, so it
      // costs neither budget nor attempts.
      ownerless++;
      moved = attempt;
      moveAt = nowMillis + settings.ownerPauseMillis();
    } else {
      endFailed();
    }
  }

  private void refused(Attempt attempt, AttemptEvent.Refused refused, long nowMillis) {
    // A refusal that contradicts tokens or our own grant proves nothing: its frame is wrong, or
    // the owner is. Taking it for a proof would tell a caller NOT RUN about work that ran.
    boolean ownersProof =
        refused.proof().situation() == NotRunProof.Situation.WITHDRAWN_FROM_QUEUE
            || refused.proof().situation() == NotRunProof.Situation.REFUSED_BY_ENDPOINT;
    if (!ownersProof
        || attempt.hasProduced()
        || refused.kind().outcomeClass() != OutcomeClass.NOT_RUN) {
      endpointLost(attempt, ErrorKind.ENDPOINT_LOST_AFTER_START);
      return;
    }
    attempt.closeNotRun(refused.proof());
    lastNotRun = refused.kind();
    comeBackMillis = refused.comeBackMillis();
    if (refused.kind() == ErrorKind.DEADLINE_PASSED) {
      // No endpoint begins it in what is left; other attempts would end in the same way.
      if (!anyOpen()) {
        endFailed();
      }
      return;
    }
    boolean isMove =
        refused.kind() == ErrorKind.DRAINING
            && refused.proof().situation() == NotRunProof.Situation.WITHDRAWN_FROM_QUEUE;
    if (isMove && moves < settings.maxMoves()) {
      move(attempt, nowMillis);
      return;
    }
    attempt.endpoint().ifPresent(avoid::add);
    runElsewhere();
  }

  /**
   * Goes on after the endpoint's owner changed as planned. Counting that as a failure would use up
   * the attempts and the budget in a rolling restart, and a caller would be refused although no
   * endpoint is missing; avoiding the endpoint would lose the adapter that is loaded there. The
   * pause and the bound on moves keep two owners with different tables from playing ping-pong.
   */
  private void move(Attempt attempt, long nowMillis) {
    moves++;
    if (!anyOpen()) {
      moved = attempt;
      moveAt = nowMillis + settings.movePauseMillis();
    }
  }

  private void sendMoved() {
    moveAt = NEVER;
    if (!anyOpen()) {
      boolean attaches = moved.mode() != Mode.RUN;
      send(moved.mode(), attaches ? moved.streamAt() : Optional.empty());
    }
  }

  private void ownerLost(Attempt attempt) {
    close(attempt, ErrorKind.ENDPOINT_LOST_AFTER_START);
    if (anyOpen()) {
      return;
    }
    if (!attempt.wasHeard() && attempt.mode() == Mode.RUN && mayRunAgain()) {
      // Nothing to read on: elsewhere it starts now, here only once the next owner is known.
      attempt.endpoint().ifPresent(avoid::add);
      runAgain(Mode.RUN, Optional.empty(), RetryBudget.Use.OWNER_LOST);
      return;
    }
    boolean attachable = spec.resumable() && attempt.endpoint().isPresent();
    if (mayRunAgain()) {
      runAgain(
          attachable ? Mode.ATTACH_OR_RUN : Mode.RUN, attempt.endpoint(), RetryBudget.Use.RETRY);
    } else if (attachable && countedAttempts() < settings.maxAttempts()) {
      // The engine keeps the stream for a while: reading on is not running again.
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

  private void giveUp(Attempt attempt, ErrorKind kind) {
    actions.add(new AttemptAction.Cancel(attempt.number()));
    endpointLost(attempt, kind);
  }

  private void close(Attempt attempt, ErrorKind unknownKind) {
    if (spec.repeatability().needsStartGrant() && attempt.mayRun() && !attempt.everGranted()) {
      // Its owner needs a yes that a closed attempt never gets.
      attempt.closeNotRun(NotRunProof.startNotGranted());
      lastNotRun = ErrorKind.ENDPOINT_LOST_BEFORE_START;
    } else {
      attempt.closeUnresolved();
      noteUnknown(unknownKind);
    }
    if (source == attempt.number()) {
      source = NO_SOURCE;
      gapAt = NEVER;
      stallAt = NEVER;
    }
  }

  private void noteUnknown(ErrorKind kind) {
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

  private void runAgain(Mode mode, Optional<EndpointId> prefer, RetryBudget.Use why) {
    boolean resumes = answer.next() > 0;
    RetryBudget.Use use = resumes ? RetryBudget.Use.RESUME : why;
    if ((resumes && !spec.resumable())
        || countedAttempts() >= settings.maxAttempts()
        || !budget.take(use)) {
      endFailed();
      return;
    }
    send(mode, prefer);
  }

  private int countedAttempts() {
    return attempts.size() - moves - ownerless;
  }

  private boolean mayRunAgain() {
    return spec.repeatability().mayRunAgain() || attempts.stream().noneMatch(Attempt::isUnresolved);
  }

  // Time and the caller.

  private void tick(long nowMillis) {
    if (nowMillis >= moveAt) {
      sendMoved();
    } else if (nowMillis >= gapAt) {
      open(source).ifPresent(attempt -> giveUp(attempt, ErrorKind.STREAM_SHORT));
    } else if (nowMillis >= stallAt) {
      open(source).ifPresent(attempt -> giveUp(attempt, ErrorKind.ENDPOINT_LOST_AFTER_START));
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
    if (runsAtMostOnceNow()) {
      // Half of a payment is worse than a whole one that its caller asks for again by key.
      return;
    }
    closeAll(ErrorKind.CALLER_LEFT);
    lastNotRun = ErrorKind.CALLER_LEFT_BEFORE_START;
    endFailed();
  }

  private void expire() {
    if (!runsAtMostOnceNow()) {
      closeAll(ErrorKind.DEADLINE_PASSED_AFTER_START);
      lastNotRun = ErrorKind.DEADLINE_PASSED;
    }
    noteUnknown(ErrorKind.DEADLINE_PASSED_AFTER_START);
    endFailed();
  }

  private boolean runsAtMostOnceNow() {
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
            answer.next(),
            prefer,
            Collections.unmodifiableSet(new LinkedHashSet<>(avoid))));
  }

  private void endFailed() {
    if (attempts.stream().anyMatch(Attempt::isUnresolved)) {
      end(Outcome.unknown(answer.next() > 0 ? ErrorKind.STREAM_SHORT : firstUnknown));
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
