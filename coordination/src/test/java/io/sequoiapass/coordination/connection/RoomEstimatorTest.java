package io.sequoiapass.coordination.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalInt;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RoomEstimatorTest {

  private static final OptionalInt BRITTLE = OptionalInt.of(5);
  private static final int SLOTS = 6;
  private static final double USUAL_MS = 60;
  private static final double THROUGHPUT_PER_S = SLOTS * 1_000 / USUAL_MS;

  private final RoomEstimator room = new RoomEstimator();

  @Nested
  class Statement {

    @Test
    void startsAndEndsBrittleness() {
      assertThat(room.stated(BRITTLE, 0, 10)).isTrue();
      assertThat(room.isBrittle()).isTrue();
      assertThat(room.stated(OptionalInt.empty(), 20, 30)).isTrue();

      assertThat(room.isBrittle()).isFalse();
    }

    /** Guards against an answer that was under way when the endpoint became brittle. */
    @Test
    void isNotEndedByAnAnswerToAnEarlierRequest() {
      room.stated(BRITTLE, 5, 10);

      assertThat(room.stated(OptionalInt.empty(), 8, 12)).isFalse();
      assertThat(room.isBrittle()).isTrue();
    }
  }

  @Nested
  class Rate {

    @Test
    void staysBelowTheThroughputOfTheSlots() {
      assertThat(room.requestsPerS(SLOTS, USUAL_MS, 0))
          .isBetween(THROUGHPUT_PER_S / 2, THROUGHPUT_PER_S * 0.9);
    }

    @Test
    void isLoweredForATimeAfterARejection() {
      double before = room.requestsPerS(SLOTS, USUAL_MS, 0);
      room.rejected(1_000);

      assertThat(room.requestsPerS(SLOTS, USUAL_MS, 1_500)).isLessThan(before / 2);
      assertThat(room.requestsPerS(SLOTS, USUAL_MS, 4_000)).isEqualTo(before);
    }
  }
}
