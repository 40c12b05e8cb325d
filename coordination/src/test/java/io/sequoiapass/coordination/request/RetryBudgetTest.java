package io.sequoiapass.coordination.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {

  /**
   * Guards against a retry storm: callers send 10,000 requests while every endpoint refuses. Four
   * attempts per request would multiply the load by four when there is no capacity; the budget
   * limits the increase to a tenth.
   */
  @Test
  void limitsRetryStormWhenAllEndpointsRefuse() {
    RetryBudget budget = new RetryBudget(0.1, 20);
    int attempts = 0;
    for (int i = 0; i < 10_000; i++) {
      attempts += attemptsWhenRefused(budget);
    }
    assertThat(attempts).isBetween(10_900, 11_020);
  }

  private static int attemptsWhenRefused(RetryBudget budget) {
    RequestAttempts request =
        new RequestAttempts(
            new RequestSpec(
                AttemptSimulation.ID,
                AttemptSimulation.NOTES,
                Repeatability.REPEATABLE,
                Priority.INTERACTIVE,
                false,
                true,
                1_000),
            AttemptSettings.DEFAULT,
            budget,
            Optional.empty());
    assertThat(request.begin(0)).hasSize(1);
    while (!request.hasEnded()) {
      assertThat(
              request.handle(
                  new AttemptEvent.Refused(
                      request.attemptCount(),
                      ErrorKind.OVERLOADED,
                      NotRunProof.refusedByEndpoint(),
                      OptionalLong.empty()),
                  0))
          .hasSize(1);
    }
    return request.attemptCount();
  }

  @Test
  void exhaustsHedgesFirstAndResumesLast() {
    RetryBudget budget = new RetryBudget(0.1, 2);
    assertThat(budget.take(RetryBudget.Use.HEDGE)).isTrue();
    assertThat(budget.take(RetryBudget.Use.HEDGE)).isFalse();
    assertThat(budget.take(RetryBudget.Use.RETRY)).isTrue();
    assertThat(budget.take(RetryBudget.Use.RETRY)).isFalse();
    assertThat(budget.take(RetryBudget.Use.RESUME)).isTrue();
    assertThat(budget.take(RetryBudget.Use.RESUME)).isTrue();
    assertThat(budget.take(RetryBudget.Use.RESUME)).isFalse();
  }
}
