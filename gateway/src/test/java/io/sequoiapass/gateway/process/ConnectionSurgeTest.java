package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a daemon that gets most new connections and reads more than it can serve. */
class ConnectionSurgeTest {

  private static final long LATE_MS = 60;

  private final ConnectionSurge surge = new ConnectionSurge(0);
  private long now;

  private void run(long ms, int connectionsPerS, long latenessMs) {
    double open = 0;
    for (long until = now + ms; now < until; now += ConnectionSurge.PROBE_MS) {
      for (open += connectionsPerS * ConnectionSurge.PROBE_MS / 1_000.0; open >= 1; open--) {
        surge.opened(now);
      }
      surge.probed(latenessMs, now);
    }
  }

  @Nested
  class DaemonThatGetsMostConnections {

    @Test
    void refusesThemWhileItDoesNotKeepUp() {
      run(60_000, 10, 0);
      run(2_000, 80, LATE_MS);

      assertThat(surge.isRefusing()).isTrue();
    }

    @Test
    void acceptsThemAgainOnceItKeepsUp() {
      run(60_000, 10, 0);
      run(2_000, 80, LATE_MS);
      run(1_000, 80, 0);

      assertThat(surge.isRefusing()).isFalse();
    }

    @Test
    void acceptsThemAgainOnceOtherDaemonsGetThem() {
      run(60_000, 10, 0);
      run(2_000, 80, LATE_MS);
      run(2_000, 0, LATE_MS);

      assertThat(surge.isRefusing()).isFalse();
    }

    @Test
    void refusesThemAgainAfterSomeSeconds() {
      run(60_000, 10, 0);
      run(2_000, 80, LATE_MS);
      run(5_000, 80, 0);
      run(2_000, 80, LATE_MS);

      assertThat(surge.isRefusing()).isTrue();
    }

    @Test
    void refusesThemSoonAfterItsStart() {
      run(8_000, 10, 0);
      run(2_000, 80, LATE_MS);

      assertThat(surge.isRefusing()).isTrue();
    }

    @Test
    void refusesNoneIfItKeepsUp() {
      run(60_000, 10, 0);
      run(10_000, 80, 5);

      assertThat(surge.isRefusing()).isFalse();
    }
  }

  @Nested
  class DaemonThatIsAsBusyAsAll {

    @Test
    void refusesNone() {
      run(60_000, 10, 0);
      run(20_000, 20, LATE_MS);

      assertThat(surge.isRefusing()).isFalse();
    }
  }

  @Nested
  class DaemonThatWasIdle {

    @Test
    void acceptsConnectionsAgainOnceItKeepsUp() {
      run(5_000, 10, 0);
      run(600_000, 0, 0);
      run(2_000, 40, LATE_MS);
      run(3_000, 40, 0);

      assertThat(surge.isRefusing()).isFalse();
    }
  }

  @Nested
  class DaemonThatHasJustStarted {

    @Test
    void refusesNone() {
      run(10_000, 80, LATE_MS);

      assertThat(surge.isRefusing()).isFalse();
    }
  }

  @Nested
  class ProcessThatWasSuspended {

    @Test
    void refusesNone() {
      run(60_000, 10, 0);
      surge.probed(5_000, now);
      run(5_000, 40, 0);

      assertThat(surge.isRefusing()).isFalse();
    }
  }
}
