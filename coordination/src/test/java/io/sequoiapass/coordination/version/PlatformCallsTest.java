package io.sequoiapass.coordination.version;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.OperationId;
import io.sequoiapass.coordination.version.WriteDecision.Outcome;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PlatformCallsTest {

  /**
   * Guards against reporting an operator's change as a conflict although it took effect: the answer
   * was lost, and the retry finds the object at the version that the first attempt wrote.
   */
  @Nested
  class ConditionalWrites {

    private final OperationId own = new OperationId("own/1");
    private final OperationId other = new OperationId("other/1");
    private final ConditionalWrite write = ConditionalWrite.create(own, 4);

    @Test
    void aRetryDetectsItsOwnChange() {
      assertThat(write.answered(new WriteAnswer.Lost()).outcome()).isEqualTo(Outcome.RETRY);
      assertThat(write.answered(new WriteAnswer.Conflict(9, Optional.of(own))))
          .isEqualTo(new WriteDecision(Outcome.APPLIED, 9, false));
    }

    @Test
    void aConflictAfterALostAnswerMayHaveOverwrittenTheOwnChange() {
      write.answered(new WriteAnswer.Lost());
      assertThat(write.answered(new WriteAnswer.Conflict(9, Optional.of(other))))
          .isEqualTo(new WriteDecision(Outcome.CONFLICT, 9, true));
    }

    @Test
    void aThrottledAttemptHasNotTakenEffect() {
      write.answered(new WriteAnswer.Throttled(1_000));
      assertThat(write.answered(new WriteAnswer.Conflict(9, Optional.of(other))))
          .isEqualTo(new WriteDecision(Outcome.CONFLICT, 9, false));
    }
  }

  @Nested
  class CallBudgets {

    private final CallBudget budget = CallBudget.create(2, 10, 0);

    @Test
    void leaseCallsAreAllowedAfterOtherCallsUsedTheirShare() {
      int hints = 0;
      while (budget.tryAcquire(0, CallKind.HINT)) {
        hints++;
      }
      assertThat(hints).isEqualTo(4);
      assertThat(budget.tryAcquire(0, CallKind.LEASE)).isTrue();
    }

    @Test
    void tokensRefillAtTheConfiguredRate() {
      for (int call = 0; call < 10; call++) {
        assertThat(budget.tryAcquire(0, CallKind.LEASE)).isTrue();
      }
      assertThat(budget.tryAcquire(499, CallKind.LEASE)).isFalse();
      assertThat(budget.tryAcquire(500, CallKind.LEASE)).isTrue();
      assertThat(budget.tryAcquire(500, CallKind.LEASE)).isFalse();
    }

    @Test
    void noCallIsAllowedWhileThrottled() {
      budget.throttled(0, 3_000);
      assertThat(budget.tryAcquire(2_999, CallKind.LEASE)).isFalse();
      assertThat(budget.tryAcquire(3_000, CallKind.LEASE)).isTrue();
    }
  }

  /**
   * Guards against a second outage: the platform recovers, 400 daemons call it simultaneously and
   * overload it.
   */
  @Test
  void retriesOfManyDaemonsSpreadOverTheBound() {
    int[] perSecond = new int[10];
    for (int daemon = 0; daemon < 400; daemon++) {
      Backoff backoff = Backoff.create(200, 10_000, new Random(daemon));
      long delay = 0;
      for (int failure = 0; failure < 8; failure++) {
        delay = backoff.nextDelayMillis();
      }
      perSecond[(int) Math.min(9, delay / 1_000)]++;
    }
    for (int calls : perSecond) {
      assertThat(calls).isBetween(20, 65);
    }
  }

  @Test
  void aLeavingWatcherIsReplacedAndTheOtherWatcherStays() {
    WatcherElection election = WatcherElection.create(new DataCentreId("surco"), 2);
    List<DaemonId> daemons = new ArrayList<>();
    for (int i = 0; i < 17; i++) {
      daemons.add(new DaemonId("d" + i));
    }
    List<DaemonId> before = election.watchers(daemons);
    daemons.remove(before.get(0));
    assertThat(before).hasSize(2);
    assertThat(election.watchers(daemons)).startsWith(before.get(1)).hasSize(2);
    assertThatThrownBy(() -> WatcherElection.create(new DataCentreId("surco"), 4))
        .hasMessageContaining("4");
  }
}
