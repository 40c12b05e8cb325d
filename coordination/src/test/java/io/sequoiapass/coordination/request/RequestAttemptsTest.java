package io.sequoiapass.coordination.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.EndpointId;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RequestAttemptsTest {

  private static final EndpointId ENGINE = new EndpointId("e1");
  private static final long DEADLINE = 10_000;
  private static final AttemptSettings SETTINGS =
      new AttemptSettings(2, 8, 250, 2_000, 16, 20, 100);

  private final RetryBudget budget = new RetryBudget(0.1, 1);
  private final RequestAttempts attempts = attempts(Repeatability.REPEATABLE);

  private RequestAttempts attempts(Repeatability repeatability) {
    RequestSpec spec =
        new RequestSpec(
            AttemptSimulation.ID,
            AttemptSimulation.NOTES,
            repeatability,
            Priority.INTERACTIVE,
            false,
            true,
            DEADLINE);
    return new RequestAttempts(spec, SETTINGS, budget, Optional.empty());
  }

  private List<AttemptAction> refused(int attempt, ErrorKind kind, long now) {
    return attempts.handle(
        new AttemptEvent.Refused(
            attempt, kind, NotRunProof.withdrawnFromQueue(), OptionalLong.empty()),
        now);
  }

  private List<AttemptAction> routed(int attempt) {
    return attempts.handle(new AttemptEvent.Routed(attempt, ENGINE), 0);
  }

  private List<AttemptAction> token(int index, long now) {
    return attempts.handle(
        new AttemptEvent.Frame(
            new AnswerFrame.Token(
                AttemptSimulation.ID, 1, AttemptSimulation.NOTES, index, "t" + index)),
        now);
  }

  private static AttemptAction.Send onlySend(List<AttemptAction> actions) {
    assertThat(actions).hasSize(1).first().isInstanceOf(AttemptAction.Send.class);
    return (AttemptAction.Send) actions.get(0);
  }

  // An operator restarts the daemons of a data centre one after the other, and each returns the
  // waiting request. The caller must not be refused, and the request must not leave the endpoint
  // that has the adapter loaded.
  @Nested
  class OwnerReturnsRequest {

    @Test
    void retriesSameEndpointAfterEachMove() {
      attempts.begin(0);
      long now = 0;
      for (int attempt = 1; attempt <= SETTINGS.maxMoves(); attempt++) {
        routed(attempt);
        assertThat(refused(attempt, ErrorKind.DRAINING, now)).isEmpty();
        assertThat(attempts.nextTickMillis()).isEqualTo(now + SETTINGS.movePauseMillis());
        now = attempts.nextTickMillis();
        AttemptAction.Send send = onlySend(attempts.handle(new AttemptEvent.Tick(), now));
        assertThat(send.attempt()).isEqualTo(attempt + 1);
        assertThat(send.avoid()).isEmpty();
      }
      assertThat(budget.take(RetryBudget.Use.RETRY)).as("the budget is not charged").isTrue();
    }

    @Test
    void failsAfterMaxMoves() {
      retriesSameEndpointAfterEachMove();
      int last = SETTINGS.maxMoves() + 1;
      routed(last);
      assertThat(refused(last, ErrorKind.DRAINING, 1_000))
          .last()
          .isInstanceOf(AttemptAction.End.class);
    }

    @Test
    void endsNotRunAtDeadline() {
      attempts.begin(0);
      routed(1);
      refused(1, ErrorKind.DRAINING, 0);
      assertThat(attempts.handle(new AttemptEvent.Tick(), DEADLINE))
          .singleElement()
          .extracting(action -> ((AttemptAction.End) action).outcome().outcomeClass())
          .isEqualTo(OutcomeClass.NOT_RUN);
    }

    @Test
    void avoidsEndpointThatRefusesForOtherReason() {
      attempts.begin(0);
      routed(1);
      assertThat(onlySend(refused(1, ErrorKind.QUEUE_FULL, 0)).avoid()).containsExactly(ENGINE);
    }
  }

  // A daemon fails with requests queued, and its successor takes seconds to take over. Requests
  // that run elsewhere immediately, even with the retry budget used up, hide the failure from their
  // callers.
  @Nested
  class OwnerFails {

    @Test
    void runsElsewhereImmediatelyWithoutResponse() {
      attempts.begin(0);
      routed(1);
      assertThat(budget.take(RetryBudget.Use.RETRY)).isTrue();
      AttemptAction.Send send = onlySend(attempts.handle(new AttemptEvent.OwnerLost(1), 5));
      assertThat(send.mode()).isEqualTo(AttemptAction.Mode.RUN);
      assertThat(send.prefer()).isEmpty();
      assertThat(send.avoid()).containsExactly(ENGINE);
    }

    @Test
    void waitsForNextOwnerWithoutAlternative() {
      attempts.begin(0);
      routed(1);
      token(0, 1);
      attempts.handle(new AttemptEvent.OwnerLost(1), 5);
      int attempt = 2;
      for (long now = 5; now < 4_000; now = attempts.nextTickMillis()) {
        assertThat(
                attempts.handle(new AttemptEvent.Unroutable(attempt, ErrorKind.NO_ENDPOINT), now))
            .isEmpty();
        AttemptAction.Send send =
            onlySend(attempts.handle(new AttemptEvent.Tick(), attempts.nextTickMillis()));
        attempt = send.attempt();
        assertThat(send.prefer()).contains(ENGINE);
      }
    }

    @Test
    void resumesStreamAtEngineAfterTokens() {
      attempts.begin(0);
      routed(1);
      token(0, 1);
      AttemptAction.Send send = onlySend(attempts.handle(new AttemptEvent.OwnerLost(1), 5));
      assertThat(send.mode()).isEqualTo(AttemptAction.Mode.ATTACH_OR_RUN);
      assertThat(send.prefer()).contains(ENGINE);
      assertThat(send.resumeFrom()).isEqualTo(1);
    }
  }

  // A caller on a slow link stops reading for longer than a stream may be silent. The owner stops
  // reading the answer as well, so nothing arrives; this must not be taken for a lost owner.
  @Nested
  class CallerReadsSlowly {

    @Test
    void suspendsStallTimeoutWhilePaused() {
      attempts.begin(0);
      routed(1);
      token(0, 1);
      attempts.handle(new AttemptEvent.Flow(true), 2);
      token(1, 3);
      assertThat(attempts.nextTickMillis()).isEqualTo(DEADLINE);
      assertThat(attempts.handle(new AttemptEvent.Tick(), 5_000)).isEmpty();
      attempts.handle(new AttemptEvent.Flow(false), 5_000);
      assertThat(attempts.nextTickMillis()).isEqualTo(5_000 + SETTINGS.stallMillis());
    }

    @Test
    void timesOutSilentStreamWithoutPause() {
      attempts.begin(0);
      routed(1);
      token(0, 1);
      assertThat(attempts.handle(new AttemptEvent.Tick(), 2_001)).isNotEmpty();
    }
  }

  @Test
  void endsWhenOwnerProvesDeadlineUnreachable() {
    attempts.begin(0);
    routed(1);
    assertThat(refused(1, ErrorKind.DEADLINE_PASSED, 9_950))
        .singleElement()
        .extracting(action -> ((AttemptAction.End) action).outcome().outcomeClass())
        .isEqualTo(OutcomeClass.NOT_RUN);
  }
}
