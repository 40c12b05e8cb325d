package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.connection.RoomMessage.PromptOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.LongConsumer;
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

  private static final long IN_TIME_MS = 2_000;
  private static final double SLOWDOWN = 2.5;

  private final UnscheduledPrompts<String> unscheduled = new UnscheduledPrompts<>();
  private EndpointId slow = new EndpointId("none");
  private int expired;

  private final PromptSchedule<Integer> schedule =
      new PromptSchedule<>(
          engine -> engine.equals(slow) ? TOKENS_PER_MS / SLOWDOWN : TOKENS_PER_MS,
          unscheduled,
          new PromptSchedule.Listener() {
            @Override
            public void expired(EndpointId endpoint, int count, long tokens) {
              expired += count;
            }

            @Override
            public void batchRead(long readMs) {}
          });

  private static PromptSchedule.Request request(int priority, long tokens, EndpointId... engines) {
    return new PromptSchedule.Request(
        Optional.empty(),
        Flow.of(priority, Optional.empty()),
        GAP_MS,
        IN_TIME_MS,
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
    void isSmallerAtASlowEngine() {
      slow = SECOND;
      IntStream.range(0, 9).forEach(key -> ask(key, 0, 3_600, FIRST));
      IntStream.range(10, 19).forEach(key -> ask(key, 0, 3_600, SECOND));

      assertThat(schedule.unreadTokens(FIRST, any -> true)).isEqualTo(5 * 3_600);
      assertThat(schedule.unreadTokens(SECOND, any -> true)).isEqualTo(2 * 3_600);
    }

    @Test
    void isFilledByAPromptThatWasSentWithoutATurn() {
      schedule.sent(1, new PromptOption(FIRST, 18_000), 0);

      assertThat(ask(2, 0, 9_000, FIRST)).isEmpty();
      assertThat(read(1, 450)).containsExactly(2);
    }

    @Test
    void beginsOnceAGapThoughPromptsWithoutATurnAreUnread() {
      schedule.sent(1, new PromptOption(FIRST, 90_000), 0);
      ask(2, 0, 9_000, FIRST);
      ask(3, 0, 18_000, FIRST);

      assertThat(schedule.giveWaiting(GAP_MS / 2)).isEmpty();
      assertThat(schedule.giveWaiting(GAP_MS + 1)).hasSize(1);
      assertThat(read(2, GAP_MS + 300)).isEmpty();
    }

    @Test
    void isFilledByAReportedPromptUntilItCanHaveBeenRead() {
      unscheduled.replace("daemon", Map.of(FIRST, 18_000L), 0);

      assertThat(ask(1, 0, 9_000, FIRST)).isEmpty();
      assertThat(schedule.giveWaiting(200)).isEmpty();
      assertThat(schedule.giveWaiting(450)).hasSize(1);
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

    @Test
    void lessUrgentMovesUpBeforeItIsLate() {
      ask(1, 0, 90_000, FIRST);
      ask(2, 2, 90_000, FIRST);
      ask(3, 0, 90_000, FIRST);
      ask(4, 0, 90_000, FIRST);

      assertThat(read(1, 500)).containsExactly(3);
      assertThat(read(3, IN_TIME_MS - 500)).containsExactly(2);
    }

    @Test
    void movedUpTakesOnlyEveryOtherTurnOfMoreUrgentOnes() {
      ask(1, 0, 90_000, FIRST);
      ask(2, 2, 90_000, FIRST);
      ask(3, 2, 90_000, FIRST);
      ask(4, 0, 90_000, FIRST);

      assertThat(read(1, IN_TIME_MS - 500)).containsExactly(2);
      assertThat(read(2, IN_TIME_MS - 300)).containsExactly(4);
      assertThat(read(4, IN_TIME_MS - 100)).containsExactly(3);
    }

    @Test
    void whatIsLateInAnyCaseDoesNotMoveUp() {
      ask(1, 0, 90_000, FIRST);
      ask(2, 2, 90_000, FIRST);
      ask(3, 0, 90_000, FIRST);

      assertThat(read(1, IN_TIME_MS + 1)).containsExactly(3);
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
      assertThat(expired).isEqualTo(1);
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

    /** Share of prompts that are sent without asking. */
    private double unasked;

    /** The engines that read such prompts, with the time at which they were read. */
    private final List<Map.Entry<EndpointId, Long>> unknown = new ArrayList<>();

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

    /** Reports the unread prompts as of a report interval ago. */
    private void report(long now) {
      Map<EndpointId, Long> tokens = new HashMap<>();
      unknown.removeIf(one -> one.getValue() <= now);
      unknown.forEach(one -> tokens.merge(one.getKey(), TOKENS, Long::sum));
      unscheduled.replace("daemons", tokens, now);
    }

    private void playWithUnasked(boolean reported) {
      unasked = 0.2;
      long[] reportedAt = {0};
      play(
          0.5,
          5,
          now -> {
            if (reported && now - reportedAt[0] >= BroadcastInterval.ROUND_MS) {
              reportedAt[0] = now;
              report(now);
            }
          });
    }

    private void play(double share, long lagMs) {
      play(share, lagMs, now -> {});
    }

    /** Reports of prompts that were read arrive late. */
    private void play(double share, long lagMs, LongConsumer onArrival) {
      PriorityQueue<Read> reads = new PriorityQueue<>(Comparator.comparingLong(Read::at));
      Map<Integer, Long> arrivals = new HashMap<>();
      int key = 0;
      for (long now = 0; now < END_MS; now = nextArrival(now, share)) {
        while (!reads.isEmpty() && reads.peek().at() + lagMs <= now) {
          Read done = reads.poll();
          long at = done.at() + lagMs;
          schedule.read(done.key(), at).forEach(turn -> give(turn, arrivals, reads, at));
        }
        onArrival.accept(now);
        if (unasked > 0 && random.nextDouble() < unasked) {
          EndpointId engine = holders()[0];
          unknown.add(Map.entry(engine, begin(engine, now)));
          continue;
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
    void reportsMakeFewerStreamsPauseForPromptsThatWereSentWithoutAsking() {
      playWithUnasked(false);
      int before = tooLong;
      tooLong = 0;
      busyUntil.clear();
      unknown.clear();
      schedule.clear();
      playWithUnasked(true);

      assertThat(tooLong).isPositive().isLessThan(before);
    }

    @Test
    void promptsAreReadAtNearlyFullSpeedUnderOverload() {
      play(1.5, 5);

      assertThat(prompts * TOKENS / TOKENS_PER_MS / (ENGINES * END_MS)).isGreaterThan(0.9);
      assertThat(tooLong).isZero();
    }
  }
}
