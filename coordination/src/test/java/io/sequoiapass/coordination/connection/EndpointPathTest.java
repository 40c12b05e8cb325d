package io.sequoiapass.coordination.connection;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EndpointPathTest {

  private static final long ROUND_MS = 250;
  private static final long SILENCE_MS = 500;

  private final EndpointPath path = new EndpointPath();
  private long now = 10_000;

  /** Runs one round of probes; the last result of the round decides the change. */
  private EndpointPath.Change round(boolean answered) {
    EndpointPath.Change change = EndpointPath.Change.NONE;
    int probes = path.probesDue(now);
    path.roundStarted(probes, now);
    for (int i = 0; i < probes; i++) {
      EndpointPath.Change next = path.probed(answered);
      change = next == EndpointPath.Change.NONE ? change : next;
    }
    now += ROUND_MS;
    return change;
  }

  private void lose() {
    path.connectionFailed();
    round(false);
    assertThat(round(false)).isEqualTo(EndpointPath.Change.LOST);
  }

  @Nested
  class Sound {

    @Test
    void isNotProbedWithoutASuspicion() {
      path.sent(now);
      now += SILENCE_MS - 1;

      assertThat(path.probesDue(now)).isZero();
    }

    @Test
    void isNotProbedWhileAnyEndpointSends() {
      path.sent(now);
      path.received();
      now += 10 * SILENCE_MS;

      assertThat(path.probesDue(now)).isZero();
    }

    @Test
    void isProbedAtOneEndpointAfterAFailedConnection() {
      path.connectionFailed();

      assertThat(path.probesDue(now)).isEqualTo(1);
    }

    @Test
    void isProbedWhenAllEndpointsAreSilent() {
      path.sent(now);
      now += SILENCE_MS;

      assertThat(path.probesDue(now)).isEqualTo(1);
    }

    @Test
    void isNotLostByTheFailureOfOneEndpoint() {
      path.connectionFailed();
      round(false);
      assertThat(round(true)).isEqualTo(EndpointPath.Change.NONE);

      assertThat(path.isLost()).isFalse();
    }

    @Test
    void anAnswerEndsTheSuspicion() {
      path.connectionFailed();
      round(true);

      assertThat(path.probesDue(now)).isZero();
    }
  }

  @Nested
  class Lost {

    @Test
    void isConfirmedAtOnceBySeveralEndpoints() {
      path.connectionFailed();
      path.roundStarted(1, now);
      path.probed(false);

      assertThat(path.probesDue(now)).isEqualTo(3);
    }

    @Test
    void isConfirmedByTheOnlyEndpoint() {
      path.connectionFailed();
      path.roundStarted(1, now);
      path.probed(false);
      path.roundStarted(1, now);

      assertThat(path.probed(false)).isEqualTo(EndpointPath.Change.LOST);
    }

    @Test
    void isNotRestoredByOpenConnections() {
      lose();
      path.received();

      assertThat(path.isLost()).isTrue();
    }

    @Test
    void isProbedUntilItIsRestored() {
      lose();
      for (int i = 0; i < 20; i++) {
        assertThat(round(false)).isEqualTo(EndpointPath.Change.NONE);
      }

      assertThat(round(true)).isEqualTo(EndpointPath.Change.RESTORED);
      assertThat(path.isLost()).isFalse();
      assertThat(path.probesDue(now)).isZero();
    }
  }
}
