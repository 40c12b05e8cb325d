package io.sequoiapass.gateway.process;

import static io.sequoiapass.gateway.process.PlanFixtures.adapter;
import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.WorkspaceId;
import io.sequoiapass.coordination.request.Flow;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SlotOrderTest {

  private static final long NOW = 10_000;
  private static final long LATE = NOW - 100;
  private static final long SOON = NOW + 100;

  private final SlotOrder order = new SlotOrder();

  private static LoadQueue.Entry entry(int number, Flow flow, long inTimeUntil) {
    LoadNeed need =
        new LoadNeed(adapter(number), 1, new RequestSize(1, 1), flow, Set.of(), Optional.empty());
    return new LoadQueue.Entry(
        need, inTimeUntil, NOW + 5_000, new LoadQueue.Place(inTimeUntil, 0, 0));
  }

  private static Flow flow(int priority, String workspace) {
    return Flow.of(priority, Optional.of(new WorkspaceId(workspace)));
  }

  private List<LoadQueue.Entry> sort(LoadQueue.Entry... entries) {
    return order.sort(List.of(entries), NOW);
  }

  /** Guards against a changed order where nobody competes. */
  @Test
  void oneFlowIsOrderedByTimeAlone() {
    Random random = new Random(3);
    Comparator<LoadQueue.Entry> byTime =
        Comparator.comparing((LoadQueue.Entry entry) -> entry.isLate(NOW))
            .thenComparingLong(entry -> entry.isLate(NOW) ? entry.until() : entry.inTimeUntil())
            .thenComparing(entry -> entry.adapter().toString());
    for (int round = 0; round < 200; round++) {
      List<LoadQueue.Entry> entries = new ArrayList<>();
      for (int number = 0; number < 20; number++) {
        long time = NOW - 10 + random.nextInt(20);
        entries.add(entry(number, PlanFixtures.FLOW, time));
      }
      LoadQueue.Entry added = entry(20, PlanFixtures.FLOW, NOW + random.nextInt(10));
      long ahead =
          entries.stream()
              .filter(other -> !other.isLate(NOW) && other.inTimeUntil() <= added.inTimeUntil())
              .count();

      assertThat(order.preceding(entries, added, NOW)).hasSize((int) ahead);
      assertThat(order.lateAhead(entries, added, NOW))
          .isEqualTo((int) entries.stream().filter(other -> other.isLate(NOW)).count());
      assertThat(order.sort(entries, NOW)).isEqualTo(entries.stream().sorted(byTime).toList());
      for (int times = 0; times < 3; times++) {
        order.assigned(entries.get(random.nextInt(20)), NOW);
        order.rejected(entries.get(random.nextInt(20)), NOW - 5_000);
      }
    }
  }

  @Test
  void moreUrgentEntryComesFirstWhateverItsTime() {
    LoadQueue.Entry relaxed = entry(1, flow(2, "a"), SOON);
    LoadQueue.Entry urgent = entry(2, flow(0, "a"), SOON + 500);

    assertThat(sort(relaxed, urgent)).containsExactly(urgent, relaxed);
  }

  @Test
  void workspacesTakeTurns() {
    LoadQueue.Entry first = entry(1, flow(1, "a"), SOON);
    LoadQueue.Entry second = entry(2, flow(1, "a"), SOON + 1);
    LoadQueue.Entry other = entry(3, flow(1, "b"), SOON + 500);

    assertThat(sort(first, second, other)).containsExactly(first, other, second);
  }

  @Test
  void adapterThatWasRejectedForSecondsComesFirst() {
    LoadQueue.Entry first = entry(1, flow(1, "a"), SOON);
    LoadQueue.Entry unserved = entry(2, flow(1, "b"), SOON + 500);
    order.rejected(unserved, NOW - 6_000);
    order.rejected(unserved, NOW - 100);

    assertThat(sort(first, unserved)).containsExactly(unserved, first);
  }

  /** Guards against callers that make their adapter go first by frequent retries. */
  @Test
  void adapterThatIsRejectedOftenWithinASecondDoesNotComeFirst() {
    LoadQueue.Entry first = entry(1, flow(1, "a"), SOON);
    LoadQueue.Entry repeated = entry(2, flow(1, "b"), SOON + 500);
    for (long now = NOW - 1_000; now < NOW; now += 20) {
      order.rejected(repeated, now);
    }

    assertThat(sort(first, repeated)).containsExactly(first, repeated);
  }

  @Nested
  class LateEntry {

    private final LoadQueue.Entry urgent = entry(1, flow(0, "a"), LATE);
    private final LoadQueue.Entry relaxed = entry(2, flow(2, "a"), SOON);

    @Test
    void followsEntriesInTime() {
      assertThat(sort(urgent, relaxed)).containsExactly(relaxed, urgent);
    }

    /** Guards against a priority that is served less often than a less urgent one. */
    @Test
    void precedesLessUrgentOnesThatAreServedMoreOften() {
      for (int times = 0; times < 6; times++) {
        order.assigned(entry(10 + times, flow(2, "a"), SOON), NOW);
        order.assigned(entry(20 + times, flow(0, "a"), LATE), NOW);
        order.rejected(entry(30 + times, flow(0, "a"), LATE), NOW);
      }

      assertThat(sort(relaxed, urgent)).containsExactly(urgent, relaxed);
    }
  }

  @Nested
  class Return {

    private final ReturningRequests returning = new ReturningRequests();

    @Test
    void keepsThePlaceOfItsFirstArrival() {
      returning.rejected(new LoadQueue.Place(0, 7, NOW), NOW);
      for (long now = NOW + 100; now <= NOW + 1_000; now += 100) {
        returning.rejected(new LoadQueue.Place(0, 7, now), now);
      }

      assertThat(returning.sinceFirst(7, NOW + 1_000)).isEqualTo(1_000);
      assertThat(returning.sinceFirst(8, NOW + 1_000)).isZero();
    }

    /** Guards against callers that extend their place by retries. */
    @Test
    void losesItsPlaceAfterSomeSeconds() {
      returning.rejected(new LoadQueue.Place(0, 7, NOW), NOW);

      assertThat(returning.sinceFirst(7, NOW + 20_000)).isZero();
    }

    @Test
    void withoutAKeyIsNew() {
      returning.rejected(new LoadQueue.Place(0, ReturnKey.NONE, NOW), NOW);

      assertThat(returning.sinceFirst(ReturnKey.NONE, NOW + 1_000)).isZero();
    }
  }
}
