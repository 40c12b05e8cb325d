package io.sequoiapass.gateway.process;

import static io.sequoiapass.gateway.process.PlanFixtures.ENGINE;
import static io.sequoiapass.gateway.process.PlanFixtures.adapter;
import static io.sequoiapass.gateway.process.PlanFixtures.entry;
import static io.sequoiapass.gateway.process.PlanFixtures.idleStore;
import static io.sequoiapass.gateway.process.PlanFixtures.need;
import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.connection.LinkMessage.Placement;
import io.sequoiapass.gateway.connection.RoomMessage;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.spi.EndpointOrder;
import io.sequoiapass.gateway.spi.EndpointReport;
import io.sequoiapass.gateway.spi.OrderResult;
import io.sequoiapass.gateway.version.AdapterName;
import io.sequoiapass.gateway.version.AdapterVersions;
import io.sequoiapass.gateway.version.EngineSpec;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against queued load requests that are overtaken by newer ones. */
class LoadQueueTest {

  private static final DaemonId DAEMON = new DaemonId("north-1");
  private static final QueuedLoads.Source SOURCE =
      new QueuedLoads.Source(new LinkedDaemon(null), 1);
  private static final int SLOTS = 2;
  private static final EngineSpec SPEC = PlanFixtures.engineOf(SLOTS);

  private final PlacementPlan plan =
      new PlacementPlan(
          new AdapterVersions(2_500),
          new ModelLoadLimiter(() -> 5_000, 1),
          new LoadTime(idleStore()));
  private final Set<AdapterName> elsewhere = new HashSet<>();
  private final LoadQueue queue = new LoadQueue(plan, elsewhere::contains);

  private static LoadQueue.Entry entry(int number, long inTimeUntil, long until) {
    return new LoadQueue.Entry(
        need(number), inTimeUntil, until, new LoadQueue.Place(inTimeUntil, 0, 0));
  }

  @BeforeEach
  void occupyAllSlots() {
    EndpointEntry entry = PlanFixtures.entry(1, true);
    plan.observe(entry, SPEC, 0);
    EndpointReport report = new EndpointReport(entry.models(), Map.of(), false, 0);
    plan.dueForReport(0).forEach(e -> plan.reported(e.endpoint(), Optional.of(report), 0));
    for (int i = 1; i <= SLOTS; i++) {
      assertThat(plan.request(need(i), false, 0)).isInstanceOf(LoadReply.Assigned.class);
    }
    executeAll(0);
    use(1_000, 1, 2);
    plan.drainChanges();
  }

  private void executeAll(long now) {
    executeAll(plan, now);
  }

  private static void executeAll(PlacementPlan of, long now) {
    Optional<EndpointOrder> order = of.nextOrder(ENGINE, DAEMON, 7, now);
    while (order.isPresent()) {
      boolean unload = order.get().type() == EndpointOrder.Type.UNLOAD;
      of.ordered(order.get(), unload ? OrderResult.DONE : OrderResult.ACCEPTED, now);
      order = of.nextOrder(ENGINE, DAEMON, 7, now);
    }
  }

  private void use(long now, int... numbers) {
    List<EndpointUsage.AdapterUse> uses = new ArrayList<>();
    for (int number : numbers) {
      uses.add(new EndpointUsage.AdapterUse(adapter(number), 1, 1));
    }
    plan.updateUsage(DAEMON, List.of(new EndpointUsage(ENGINE, Load.NONE, uses)), now);
  }

  private List<AdapterName> placed() {
    return plan.drainChanges().stream()
        .filter(placement -> placement.readyInMs() >= 0)
        .map(Placement::adapter)
        .toList();
  }

  @Nested
  class Order {

    @Test
    void freeSlotIsAssignedImmediately() {
      assertThat(queue.loadOrEnqueue(entry(9, 1_500, 3_000), SOURCE, 1_100))
          .isInstanceOf(LoadReply.Queued.class);
      queue.dispatch(1_200);
      assertThat(placed()).isEmpty();

      use(1_300, 1);
      queue.dispatch(1_550);

      assertThat(placed()).containsExactly(adapter(9));
      assertThat(queue.isEmpty()).isTrue();
    }

    @Test
    void entryThatIsStillInTimeComesFirst() {
      queue.loadOrEnqueue(entry(7, 1_200, 4_000), SOURCE, 1_100);
      queue.loadOrEnqueue(entry(8, 1_900, 4_000), SOURCE, 1_110);
      queue.loadOrEnqueue(entry(9, 1_800, 4_000), SOURCE, 1_120);

      use(1_300, 1);
      queue.dispatch(1_550);
      assertThat(placed()).containsExactly(adapter(9));
    }

    /** Guards against a new load that takes a slot which became free since the last dispatch. */
    @Test
    void lessUrgentLoadDoesNotOvertakeAQueuedOne() {
      queue.loadOrEnqueue(entry(9, 1_900, 3_000), SOURCE, 1_100);
      use(1_300, 1);
      LoadNeed relaxed =
          new LoadNeed(
              adapter(8),
              1,
              need(8).size(),
              Flow.of(2, need(8).flow().workspace()),
              Set.of(),
              Optional.empty());
      LoadQueue.Entry added =
          new LoadQueue.Entry(relaxed, 1_600, 3_000, new LoadQueue.Place(1_600, 0, 0));

      assertThat(queue.load(added, false, 1_550)).isInstanceOf(LoadReply.Rejected.class);
      assertThat(placed()).containsExactly(adapter(9));
    }

    /** Guards against a slot reserved for an adapter that another data centre loads. */
    @Test
    void adapterHeldElsewhereGetsNoSlot() {
      queue.loadOrEnqueue(entry(7, 1_500, 4_000), SOURCE, 1_100);
      queue.loadOrEnqueue(entry(8, 1_900, 4_000), SOURCE, 1_110);
      elsewhere.add(adapter(7));
      use(1_300, 1);
      queue.dispatch(1_550);

      assertThat(placed()).containsExactly(adapter(8));
      assertThat(queue.isEmpty()).isTrue();
    }

    @Test
    void twoRequestsForOneAdapterGetOneSlot() {
      queue.loadOrEnqueue(entry(9, 1_500, 3_000), SOURCE, 1_100);
      queue.loadOrEnqueue(entry(9, 1_600, 3_500), SOURCE, 1_110);
      use(1_300);
      queue.dispatch(1_550);

      assertThat(placed()).containsExactly(adapter(9));
    }

    @Test
    void waitingDoesNotCountAsDemand() {
      queue.loadOrEnqueue(entry(9, 1_500, 3_000), SOURCE, 1_100);
      for (long now = 1_100; now < 1_500; now += 10) {
        queue.dispatch(now);
      }
      use(1_500, 1);
      queue.dispatch(1_750);
      executeAll(1_750);
      use(1_800);
      // One of the two is evicted: 1 was requested twice, 9 once, however long it was queued.
      plan.request(need(1), false, 1_900);
      plan.drainChanges();
      plan.request(need(2), false, 3_000);

      assertThat(plan.drainChanges())
          .filteredOn(placement -> placement.readyInMs() < 0)
          .extracting(Placement::adapter)
          .containsExactly(adapter(9));
    }
  }

  /** Guards against slots for loads that no request waits for. */
  @Nested
  class Withdrawal {

    private final LoadQueueModule module =
        new LoadQueueModule(queue, () -> 0, DecisionLog.silent(), new GatewayMetrics());
    private final LinkedDaemon one = new LinkedDaemon(null);
    private final LinkedDaemon other = new LinkedDaemon(null);

    private void enqueue(LoadQueue.Entry entry, LinkedDaemon daemon, long request) {
      assertThat(queue.loadOrEnqueue(entry, new QueuedLoads.Source(daemon, request), 1_100))
          .isInstanceOf(LoadReply.Queued.class);
    }

    private List<AdapterName> placedOnceASlotIsFree() {
      use(1_300, 1);
      queue.dispatch(1_550);
      return placed();
    }

    /** Guards against a slot for a caller that has left; the next in the queue gets it. */
    @Test
    void loadWhoseCallerLeftGetsNoSlot() {
      enqueue(entry(7, 1_700, 4_000), one, 1);
      enqueue(entry(8, 1_900, 4_000), other, 1);

      module.receive(one, new RoomMessage.LoadWithdrawn(adapter(7), 1), 1_200);

      assertThat(placedOnceASlotIsFree()).containsExactly(adapter(8));
    }

    @Test
    void loadThatAnotherDaemonWaitsForStaysAsThatOneNeedsIt() {
      enqueue(entry(7, 1_700, 4_000), one, 1);
      enqueue(entry(7, 2_000, 4_000), other, 1);
      enqueue(entry(8, 1_900, 4_000), other, 2);

      module.receive(one, new RoomMessage.LoadWithdrawn(adapter(7), 1), 1_200);

      assertThat(placedOnceASlotIsFree()).containsExactly(adapter(8));
      assertThat(queue.isEmpty()).isFalse();
    }

    /** Guards against a withdrawal that crosses a later request of the same daemon. */
    @Test
    void laterRequestOfTheSameDaemonStays() {
      enqueue(entry(7, 1_700, 4_000), one, 2);

      module.receive(one, new RoomMessage.LoadWithdrawn(adapter(7), 1), 1_200);

      assertThat(placedOnceASlotIsFree()).containsExactly(adapter(7));
    }

    /** Guards against a load that stays for ever because its withdrawal was lost. */
    @Test
    void loadExpiresIfItsWithdrawalIsLost() {
      enqueue(entry(7, 1_700, 2_000), one, 1);

      queue.dispatch(2_001);

      assertThat(queue.isEmpty()).isTrue();
    }

    /** Guards against the late loss of an old link that takes the loads of the new one. */
    @Test
    void daemonThatLinkedAgainKeepsWhatItRequestedAnew() {
      LinkedDaemon again = new LinkedDaemon(null);
      one.daemon = DAEMON;
      again.daemon = DAEMON;
      enqueue(entry(7, 1_700, 4_000), one, 1);
      enqueue(entry(8, 1_900, 4_000), one, 2);
      enqueue(entry(8, 1_900, 4_000), again, 3);

      queue.unlinked(one);

      assertThat(placedOnceASlotIsFree()).containsExactly(adapter(8));
      assertThat(queue.isEmpty()).isTrue();
    }
  }

  @Nested
  class Refusal {

    @Test
    void entryThatCannotBeServedIsRejectedImmediately() {
      for (int i = 10; i < 13; i++) {
        queue.loadOrEnqueue(entry(i, 1_500, 4_000), SOURCE, 1_100);
      }

      assertThat(queue.loadOrEnqueue(entry(20, 1_500, 2_000), SOURCE, 1_200))
          .isInstanceOfSatisfying(
              LoadReply.Rejected.class,
              rejected -> assertThat(rejected.retryAfterMs()).isEqualTo(3_000));
    }

    @Test
    void entryForAQueuedAdapterIsNotRejected() {
      queue.loadOrEnqueue(entry(9, 1_500, 3_000), SOURCE, 1_100);
      queue.loadOrEnqueue(entry(10, 1_500, 4_000), SOURCE, 1_100);

      assertThat(queue.loadOrEnqueue(entry(9, 1_400, 1_600), SOURCE, 1_110))
          .isInstanceOf(LoadReply.Queued.class);
    }

    /**
     * Guards against late callers that wait until their deadline for slots which never become free,
     * as after a crash of engines. They are refused as soon as their expected wait is too long.
     */
    @Test
    void lateEntryIsRemovedBeforeItsDeadline() {
      queue.loadOrEnqueue(entry(9, 1_300, 4_000), SOURCE, 1_100);
      queue.loadOrEnqueue(entry(10, 1_300, 4_100), SOURCE, 1_100);
      assertThat(queue.dispatch(1_400)).isEmpty();

      List<LoadQueue.Expired> expired = queue.dispatch(2_800);

      assertThat(expired).extracting(LoadQueue.Expired::adapter).containsExactly(adapter(10));
      assertThat(queue.isEmpty()).isFalse();
    }

    /** A long queue of late entries must not delay a caller that can still be served in time. */
    @Test
    void lateEntriesDoNotDelayEntriesInTime() {
      queue.loadOrEnqueue(entry(9, 1_150, 6_000), SOURCE, 1_100);
      queue.loadOrEnqueue(entry(10, 1_150, 6_000), SOURCE, 1_100);
      queue.loadOrEnqueue(entry(11, 1_150, 6_000), SOURCE, 1_100);

      assertThat(queue.loadOrEnqueue(entry(12, 2_100, 2_200), SOURCE, 1_200))
          .isInstanceOf(LoadReply.Queued.class);
    }

    @Test
    void expiredEntryGetsNoSlot() {
      queue.loadOrEnqueue(entry(9, 1_500, 1_700), SOURCE, 1_100);
      use(1_300, 1);
      queue.dispatch(1_800);

      assertThat(placed()).isEmpty();
      assertThat(queue.isEmpty()).isTrue();
    }
  }

  /**
   * Guards against rejections by a turnover rate that ignores the size of the engines. A slot of
   * the large engine becomes free every 80 ms, so ten callers get slots within 800 ms; with one
   * rate for engines of all sizes eight of them are refused.
   */
  @Nested
  class LargeEngine {

    private static final int LARGE = 17;
    private static final int CALLERS = 10;
    private static final long EACH_MS = 80;

    private final PlacementPlan large =
        new PlacementPlan(
            new AdapterVersions(2_500),
            new ModelLoadLimiter(() -> 5_000, 1),
            new LoadTime(idleStore()));
    private final LoadQueue queue = new LoadQueue(large, name -> false);

    private void uses(int from, long now) {
      List<EndpointUsage.AdapterUse> uses = new ArrayList<>();
      for (int number = from; number <= LARGE; number++) {
        uses.add(new EndpointUsage.AdapterUse(adapter(number), 1, 1));
      }
      large.updateUsage(DAEMON, List.of(new EndpointUsage(ENGINE, Load.NONE, uses)), now);
    }

    @BeforeEach
    void occupyAllSlots() {
      EndpointEntry entry = PlanFixtures.entry(1, true);
      large.observe(entry, PlanFixtures.engineOf(LARGE), 0);
      EndpointReport report = new EndpointReport(entry.models(), Map.of(), false, 0);
      large.dueForReport(0).forEach(e -> large.reported(e.endpoint(), Optional.of(report), 0));
      for (int number = 1; number <= LARGE; number++) {
        large.request(need(number), false, number * 500L);
        executeAll(large, number * 500L);
      }
      uses(1, 10_000);
    }

    @Test
    void entriesThatCanBeServedInTimeAreQueued() {
      for (int caller = 0; caller < CALLERS; caller++) {
        LoadQueue.Entry entry = entry(100 + caller, 10_600, 11_100);
        assertThat(queue.loadOrEnqueue(entry, SOURCE, 10_050)).isInstanceOf(LoadReply.Queued.class);
      }
      for (int ended = 1; ended <= CALLERS; ended++) {
        long now = 10_050 + ended * EACH_MS;
        uses(1 + ended, now);
        queue.dispatch(now);
        executeAll(large, now);
      }
      queue.dispatch(11_080);

      assertThat(queue.isEmpty()).isTrue();
    }
  }

  /**
   * Guards against slots that stay unused between the retries of rejected callers. With retries
   * every 400 ms, 14 of 60 callers start in time; with a queue, 47 do.
   */
  @Nested
  class HeavyLoad {

    private static final long STREAM_MS = 600;
    private static final long EACH_MS = 300;
    private static final long IN_TIME_MS = 700;
    private static final int CALLERS = 60;

    @Test
    void queueServesMoreInTimeThanRetries() {
      int queued = simulate(true);
      int retried = new LoadQueueTest().fresh().simulate(false);

      assertThat(queued).isGreaterThan(2 * retried);
    }

    int simulate(boolean enqueues) {
      List<long[]> running = new ArrayList<>();
      List<long[]> pending = new ArrayList<>();
      int inTime = 0;
      for (long now = 2_000; now < 2_000 + CALLERS * EACH_MS + 2_000; now += 10) {
        long time = now;
        running.removeIf(stream -> stream[1] <= time);
        use(now, running.stream().mapToInt(stream -> (int) stream[0]).toArray());
        int caller = (int) ((now - 2_000) / EACH_MS);
        if (caller < CALLERS && (now - 2_000) % EACH_MS == 0) {
          pending.add(new long[] {100 + caller, now, now});
        }
        queue.dispatch(now);
        for (long[] one : List.copyOf(pending)) {
          if (now >= one[2]) {
            send(one, enqueues, now);
          }
        }
        executeAll(now);
        for (AdapterName name : placed()) {
          long number = Long.parseLong(name.adapter().value().substring(1));
          for (long[] one : List.copyOf(pending)) {
            if (one[0] == number) {
              pending.remove(one);
              running.add(new long[] {number, now + STREAM_MS});
              inTime += now - one[1] <= IN_TIME_MS ? 1 : 0;
            }
          }
        }
      }
      return inTime;
    }

    private void send(long[] one, boolean enqueues, long now) {
      if (enqueues) {
        queue.loadOrEnqueue(entry((int) one[0], one[1] + IN_TIME_MS, one[1] + 2_000), SOURCE, now);
        one[2] = Long.MAX_VALUE;
      } else {
        plan.request(need((int) one[0]), false, now);
        one[2] = now + 400;
      }
    }
  }

  private HeavyLoad fresh() {
    occupyAllSlots();
    return new HeavyLoad();
  }
}
