package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.connection.RoomMessage.PromptOption;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PromptScheduleTest {

  private static final double TOKENS_PER_MS = 40;
  private static final long GAP_MS = 600;
  private static final EndpointId FIRST = new EndpointId("engine-1");
  private static final EndpointId SECOND = new EndpointId("engine-2");

  private final PromptSchedule<Integer> schedule = new PromptSchedule<>(any -> TOKENS_PER_MS);

  private static PromptSchedule.Request request(int priority, long tokens, EndpointId... engines) {
    return new PromptSchedule.Request(
        Optional.empty(),
        Flow.of(priority, Optional.empty()),
        GAP_MS,
        List.of(engines).stream().map(engine -> new PromptOption(engine, tokens)).toList());
  }

  private Optional<EndpointId> ask(int key, int priority, long tokens, EndpointId... engines) {
    return schedule
        .ask(key, request(priority, tokens, engines), 0)
        .map(PromptSchedule.Turn::endpoint);
  }

  private List<Integer> read(int key, long now) {
    return schedule.read(key, now).stream().map(PromptSchedule.Turn::key).toList();
  }

  @Nested
  class Batch {

    @Test
    void takesWhatIsReadWithinAShareOfTheGap() {
      assertThat(ask(1, 0, 9_000, FIRST)).contains(FIRST);
      assertThat(ask(2, 0, 9_000, FIRST)).contains(FIRST);
      assertThat(ask(3, 0, 9_000, FIRST)).isEmpty();
    }

    @Test
    void isNotExtendedWhileItIsRead() {
      ask(1, 0, 9_000, FIRST);
      ask(2, 0, 9_000, FIRST);
      ask(3, 0, 9_000, FIRST);

      assertThat(read(1, 225)).isEmpty();
      assertThat(read(2, 450)).containsExactly(3);
    }

    @Test
    void beginsAfterABreak() {
      ask(1, 0, 18_000, FIRST);
      ask(2, 0, 9_000, FIRST);

      assertThat(schedule.read(1, 450).get(0).delayMs()).isEqualTo(PromptSchedule.BREAK_MS);
    }

    @Test
    void takesALongerPromptAlone() {
      assertThat(ask(1, 0, 90_000, FIRST)).contains(FIRST);
      assertThat(ask(2, 0, 100, FIRST)).isEmpty();
    }
  }

  @Nested
  class Order {

    @Test
    void engineThatFinishesFirstIsTaken() {
      ask(1, 0, 9_000, FIRST);

      assertThat(ask(2, 0, 9_000, FIRST, SECOND)).contains(SECOND);
    }

    @Test
    void moreUrgentPriorityGoesFirstThenTheEarlier() {
      ask(1, 0, 90_000, FIRST);
      ask(2, 2, 90_000, FIRST);
      ask(3, 0, 90_000, FIRST);
      ask(4, 0, 90_000, FIRST);

      assertThat(read(1, 100)).containsExactly(3);
      assertThat(read(3, 200)).containsExactly(4);
      assertThat(read(4, 300)).containsExactly(2);
    }
  }

  @Nested
  class Failure {

    @Test
    void lostDaemonsPromptsMakeRoom() {
      ask(1, 0, 90_000, FIRST);
      ask(2, 0, 90_000, FIRST);

      assertThat(schedule.removeIf(key -> key == 1, 10)).hasSize(1);
    }

    @Test
    void lostReportEndsTheTurnInTheEnd() {
      ask(1, 0, 9_000, FIRST);
      ask(2, 0, 90_000, FIRST);

      assertThat(schedule.expire(500)).isEmpty();
      assertThat(schedule.expire(5_000)).hasSize(1);
    }

    @Test
    void requestThatEndsWhileItWaitsGetsNoTurn() {
      ask(1, 0, 90_000, FIRST);
      ask(2, 0, 90_000, FIRST);
      read(2, 10);

      assertThat(read(1, 100)).isEmpty();
      assertThat(schedule.waiting()).isEmpty();
    }
  }

  /** Long prompts that take half of the engines' time, each to one of two holders. */
  @Nested
  class UnderLoad {

    private static final int ENGINES = 14;
    private static final long TOKENS = 9_190;
    private static final long END_MS = 60_000;

    private final Random random = new Random(7);
    private final Map<EndpointId, Long> busyUntil = new HashMap<>();
    private final Map<EndpointId, Long> busySince = new HashMap<>();
    private int tooLong;
    private int prompts;
    private long waitedMs;

    private record Read(int key, long at) {}

    private long begin(EndpointId engine, long at) {
      if (busyUntil.getOrDefault(engine, -1L) < at) {
        busySince.put(engine, at);
      }
      long start = Math.max(at, busyUntil.getOrDefault(engine, 0L));
      long end = start + (long) (TOKENS / TOKENS_PER_MS);
      busyUntil.put(engine, end);
      prompts++;
      if (end - busySince.get(engine) > GAP_MS) {
        tooLong++;
      }
      return end;
    }

    private EndpointId[] holders() {
      return IntStream.range(0, 2)
          .mapToObj(any -> new EndpointId("e" + random.nextInt(ENGINES)))
          .toArray(EndpointId[]::new);
    }

    private long nextArrival(long now, double share) {
      double perMs = share * ENGINES * TOKENS_PER_MS / TOKENS;
      return now + (long) (-Math.log(1 - random.nextDouble()) / perMs);
    }

    private void give(
        PromptSchedule.Turn<Integer> turn,
        Map<Integer, Long> arrivals,
        PriorityQueue<Read> reads,
        long now) {
      waitedMs += now + turn.delayMs() - arrivals.get(turn.key());
      reads.add(new Read(turn.key(), begin(turn.endpoint(), now + turn.delayMs())));
    }

    /** Reports of prompts that were read arrive late. */
    private void play(double share, long lagMs) {
      PriorityQueue<Read> reads = new PriorityQueue<>(Comparator.comparingLong(Read::at));
      Map<Integer, Long> arrivals = new HashMap<>();
      int key = 0;
      for (long now = 0; now < END_MS; now = nextArrival(now, share)) {
        while (!reads.isEmpty() && reads.peek().at() + lagMs <= now) {
          Read done = reads.poll();
          long at = done.at() + lagMs;
          schedule.read(done.key(), at).forEach(turn -> give(turn, arrivals, reads, at));
        }
        arrivals.put(++key, now);
        long asked = now;
        schedule
            .ask(key, request(0, TOKENS, holders()), now)
            .ifPresent(turn -> give(turn, arrivals, reads, asked));
      }
    }

    private void playWithoutTurns(double share) {
      for (long now = 0; now < END_MS; now = nextArrival(now, share)) {
        begin(holders()[0], now);
      }
    }

    @Test
    void streamsPauseTooLongWithoutTurns() {
      playWithoutTurns(0.5);

      assertThat((double) tooLong / prompts).isGreaterThan(0.2);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 5, 20})
    void noStreamPausesTooLongWithTurns(long lagMs) {
      play(0.5, lagMs);

      assertThat(tooLong).isZero();
      assertThat((double) waitedMs / prompts).isLessThan(100);
    }

    @Test
    void promptsAreReadAtNearlyFullSpeedUnderOverload() {
      play(1.5, 5);

      assertThat(prompts * TOKENS / TOKENS_PER_MS / (ENGINES * END_MS)).isGreaterThan(0.9);
      assertThat(tooLong).isZero();
    }
  }
}
