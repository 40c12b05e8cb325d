package io.sequoiapass.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ReadGateTest {

  private static final int INTERVAL_MS = 10;
  private final EmbeddedChannel channel = new EmbeddedChannel();

  @BeforeEach
  void freezeTime() {
    channel.freezeTime();
  }

  private void pass(int millis) {
    channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }

  private boolean isReading() {
    channel.runPendingTasks();
    return channel.config().isAutoRead();
  }

  @Nested
  class Interval {

    @Test
    void restsAfterAReadForAnIntervalAtMost() {
      ReadGate gate = new ReadGate(channel, INTERVAL_MS);
      assertThat(isReading()).isTrue();

      gate.wasRead();
      assertThat(isReading()).isFalse();

      pass(INTERVAL_MS);
      assertThat(isReading()).isTrue();
    }

    @Test
    void neverRestsWithoutAnInterval() {
      ReadGate gate = new ReadGate(channel, 0);
      gate.wasRead();
      assertThat(isReading()).isTrue();
    }
  }

  @Nested
  class Pause {

    // A slow caller's stream is paused. The rest of its last read ends; were that to open the
    // connection, the stream would pile up in memory after all.
    @Test
    void outlastsTheEndOfARest() {
      ReadGate gate = new ReadGate(channel, INTERVAL_MS);
      gate.wasRead();
      gate.pause(true);
      pass(INTERVAL_MS);
      assertThat(isReading()).isFalse();

      gate.pause(false);
      assertThat(isReading()).isTrue();
    }
  }

  @Nested
  class Release {

    // A kept connection carries the next answer, whose reader is paused at once. The rest and the
    // pause of the answer before arrive late; they must neither open nor close the connection.
    @Test
    void lateRestsAndPausesOfTheLastExchangeChangeNothing() {
      ReadGate last = new ReadGate(channel, INTERVAL_MS);
      last.wasRead();
      last.release();
      assertThat(isReading()).isTrue();

      ReadGate next = new ReadGate(channel, INTERVAL_MS);
      next.pause(true);
      pass(INTERVAL_MS);
      last.pause(false);
      assertThat(isReading()).isFalse();
    }
  }
}
