package io.sequoiapass.gateway.process;

import static io.sequoiapass.gateway.process.PlanFixtures.ENGINE;
import static io.sequoiapass.gateway.process.PlanFixtures.MODEL;
import static io.sequoiapass.gateway.process.PlanFixtures.adapter;
import static io.sequoiapass.gateway.process.PlanFixtures.entry;
import static io.sequoiapass.gateway.process.PlanFixtures.idleStore;
import static io.sequoiapass.gateway.process.PlanFixtures.need;
import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.gateway.connection.LinkMessage.Placement;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.spi.EndpointOrder;
import io.sequoiapass.gateway.spi.EndpointReport;
import io.sequoiapass.gateway.spi.OrderResult;
import io.sequoiapass.gateway.version.AdapterName;
import io.sequoiapass.gateway.version.AdapterVersions;
import io.sequoiapass.gateway.version.EngineSpec;
import io.sequoiapass.gateway.version.ModelSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PlacementPlanTest {

  private static final DaemonId DAEMON = new DaemonId("north-1");
  private static final int SLOTS = 4;
  private static final EngineSpec SPEC = PlanFixtures.engineOf(SLOTS);

  private final AdapterVersions versions = new AdapterVersions(2_500);
  private final PlacementPlan plan =
      new PlacementPlan(versions, new ModelLoadLimiter(() -> 5_000, 1), new LoadTime(idleStore()));
  private final FakeEngine engine = new FakeEngine();

  /**
   * An engine that counts accepted orders and fails the test beyond its slots, where a real one
   * crashes.
   */
  private static final class FakeEngine {

    private final Map<AdapterName, Long> held = new HashMap<>();
    private final Set<AdapterName> running = new HashSet<>();
    private final Set<AdapterName> unloading = new HashSet<>();
    private long sequence;
    private boolean hasModel = true;

    OrderResult execute(EndpointOrder order) {
      if (order.expectedSequence() != sequence) {
        return OrderResult.CONFLICT;
      }
      sequence++;
      if (order.adapter().isEmpty()) {
        hasModel = true;
        return OrderResult.ACCEPTED;
      }
      AdapterName name = new AdapterName(order.model(), order.adapter().get());
      if (order.type() == EndpointOrder.Type.UNLOAD) {
        if (running.contains(name)) {
          unloading.add(name);
          return OrderResult.ACCEPTED;
        }
        held.remove(name);
        return OrderResult.DONE;
      }
      held.put(name, order.version().orElse(1));
      assertThat(held).as("adapters beyond the engine's slots").hasSizeLessThanOrEqualTo(SLOTS);
      return OrderResult.ACCEPTED;
    }

    void endRun(AdapterName name) {
      running.remove(name);
      if (unloading.remove(name)) {
        held.remove(name);
      }
    }

    EndpointReport report() {
      Map<AdapterId, Long> adapters = new HashMap<>();
      held.forEach((name, version) -> adapters.put(name.adapter(), version));
      List<EndpointEntry.HeldModel> models =
          hasModel ? List.of(new EndpointEntry.HeldModel(MODEL, 1, adapters)) : List.of();
      return new EndpointReport(models, Map.of(), false, sequence);
    }
  }

  @BeforeEach
  void registerEngine() {
    plan.observe(entry(1, true), SPEC, 0);
    answerReports(0);
  }

  private void answerReports(long now) {
    plan.dueForReport(now)
        .forEach(e -> plan.reported(e.endpoint(), Optional.of(engine.report()), now));
  }

  private void executeAll(long now) {
    Optional<EndpointOrder> order = plan.nextOrder(ENGINE, DAEMON, 7, now);
    while (order.isPresent()) {
      plan.ordered(order.get(), engine.execute(order.get()), now);
      order = plan.nextOrder(ENGINE, DAEMON, 7, now);
    }
  }

  private void load(int number, long now) {
    assertThat(plan.request(need(number), false, now)).isInstanceOf(LoadReply.Assigned.class);
    executeAll(now);
  }

  @Nested
  class Loading {

    @Test
    void loadIsOrderedAndPublished() {
      plan.drainChanges();
      load(1, 10);

      assertThat(engine.held).containsOnlyKeys(adapter(1));
      List<Placement> changes = plan.drainChanges();
      assertThat(changes.get(changes.size() - 1).readyInMs()).isBetween(200L, 300L);
    }

    @Test
    void heldAdapterIsNotOrderedAgain() {
      load(1, 10);
      plan.request(need(1), false, 20);

      assertThat(plan.nextOrder(ENGINE, DAEMON, 7, 20)).isEmpty();
    }

    @Test
    void adapterWithLeastDemandIsEvicted() {
      for (int i = 1; i <= SLOTS; i++) {
        load(i, i * 1_000L);
      }
      for (int i = 0; i < 5; i++) {
        plan.request(need(1), false, 9_000);
      }
      load(9, 9_500);

      assertThat(engine.held).containsKeys(adapter(1), adapter(9)).doesNotContainKey(adapter(2));
    }

    @Test
    void adapterInUseIsNotEvicted() {
      for (int i = 1; i <= SLOTS; i++) {
        load(i, i * 1_000L);
      }
      List<EndpointUsage.AdapterUse> uses =
          List.of(1, 2, 3, 4).stream()
              .map(i -> new EndpointUsage.AdapterUse(adapter(i), 1, 1))
              .toList();
      plan.updateUsage(DAEMON, List.of(new EndpointUsage(ENGINE, Load.NONE, uses)), 9_000);

      assertThat(plan.request(need(9), false, 12_000)).isInstanceOf(LoadReply.Rejected.class);
    }

    /** Guards against the eviction of an adapter whose first request is not reported yet. */
    @Test
    void adapterWithoutAReportedRequestIsNotEvicted() {
      for (int i = 1; i <= SLOTS; i++) {
        load(i, 10);
      }
      long arrived = 300;

      assertThat(plan.request(need(9), false, arrived + 200))
          .isInstanceOf(LoadReply.Rejected.class);
    }

    /** Guards against slots that stay unused after the last reported use. */
    @Test
    void idleAdapterIsEvictedSoon() {
      for (int i = 1; i <= SLOTS; i++) {
        load(i, 10);
      }
      List<EndpointUsage.AdapterUse> uses =
          List.of(1, 2, 3, 4).stream()
              .map(i -> new EndpointUsage.AdapterUse(adapter(i), 1, 1))
              .toList();
      plan.updateUsage(DAEMON, List.of(new EndpointUsage(ENGINE, Load.NONE, uses)), 400);
      plan.updateUsage(
          DAEMON, List.of(new EndpointUsage(ENGINE, Load.NONE, uses.subList(0, 3))), 500);

      assertThat(plan.request(need(9), false, 501)).isInstanceOf(LoadReply.Assigned.class);
    }

    @Test
    void concurrentLoadsOfAnEngineAreLimited() {
      EngineSpec wide = new EngineSpec(96, 200_000, 16_500, 20, 4, SPEC.models());
      plan.observe(entry(1, true), wide, 5);
      for (int i = 1; i <= PlacementPlan.MAX_LOADS_IN_PROGRESS; i++) {
        plan.request(need(i), false, 10);
      }

      assertThat(plan.request(need(9), false, 10)).isInstanceOf(LoadReply.Rejected.class);
    }
  }

  /**
   * Guards against a load beyond the slots of an engine. The engine defers an unload until the
   * requests that use the adapter have ended, so the slot is still occupied.
   */
  @Nested
  class DeferredUnload {

    private static final long NOW = 9_000;

    @BeforeEach
    void evictAnAdapterInUse() {
      for (int i = 1; i <= SLOTS; i++) {
        load(i, i * 1_000L);
      }
      engine.running.add(adapter(1));
      assertThat(plan.request(need(9), false, NOW)).isInstanceOf(LoadReply.Assigned.class);
    }

    @Test
    void anotherAdapterIsEvictedInstead() {
      executeAll(NOW);

      assertThat(engine.held).containsKeys(adapter(1), adapter(9)).hasSize(SLOTS);
    }

    @Test
    void loadIsDroppedAndPublishedIfNothingElseCanBeEvicted() {
      List<EndpointUsage.AdapterUse> uses =
          List.of(2, 3, 4).stream()
              .map(i -> new EndpointUsage.AdapterUse(adapter(i), 1, 1))
              .toList();
      plan.updateUsage(DAEMON, List.of(new EndpointUsage(ENGINE, Load.NONE, uses)), NOW);
      plan.drainChanges();
      executeAll(NOW);

      assertThat(engine.held).doesNotContainKey(adapter(9)).hasSize(SLOTS);
      assertThat(plan.drainChanges())
          .filteredOn(placement -> placement.adapter().equals(adapter(9)))
          .extracting(Placement::readyInMs)
          .containsExactly(-1L);
    }

    @Test
    void slotIsReusedOnceAReportShowsTheUnload() {
      executeAll(NOW);
      engine.endRun(adapter(1));
      answerReports(NOW + 1_000);
      load(10, NOW + 1_001);

      assertThat(engine.held).containsKeys(adapter(9), adapter(10)).hasSize(SLOTS);
    }

    @Test
    void reportOlderThanTheOrderFreesNoSlot() {
      EndpointReport before = engine.report();
      executeAll(NOW);
      assertThat(plan.dueForReport(NOW + 1_000)).hasSize(1);
      plan.reported(
          ENGINE,
          Optional.of(new EndpointReport(List.of(), Map.of(), false, before.sequence())),
          NOW + 1_000);
      load(10, NOW + 1_001);

      assertThat(engine.held).hasSize(SLOTS);
    }
  }

  /**
   * Guards against a delayed order that fills an engine beyond its slots. The response to an order
   * is lost, and the order arrives after others were accepted.
   */
  @Nested
  class DelayedOrder {

    @Test
    void isRefusedAfterAnotherWasAccepted() {
      plan.request(need(1), false, 10);
      EndpointOrder lost = plan.nextOrder(ENGINE, DAEMON, 7, 10).orElseThrow();
      plan.ordered(lost, OrderResult.UNKNOWN, 130);
      executeAll(131);

      assertThat(engine.held).containsOnlyKeys(adapter(1));
      assertThat(engine.execute(lost)).isEqualTo(OrderResult.CONFLICT);
    }

    @Test
    void isFoundByTheReportIfItWasExecuted() {
      plan.request(need(1), false, 10);
      EndpointOrder lost = plan.nextOrder(ENGINE, DAEMON, 7, 10).orElseThrow();
      engine.execute(lost);
      plan.ordered(lost, OrderResult.UNKNOWN, 130);
      executeAll(131);
      answerReports(1_000);
      load(2, 1_001);

      assertThat(engine.held).containsOnlyKeys(adapter(1), adapter(2));
    }

    @Test
    void neverExceedsTheSlotsOfAnEngine() {
      for (long seed = 0; seed < 200; seed++) {
        simulateLostAndDelayedOrders(new Random(seed), false);
      }
    }

    @Test
    void neverExceedsTheSlotsWithDeferredUnloads() {
      for (long seed = 1_000; seed < 1_300; seed++) {
        simulateLostAndDelayedOrders(new Random(seed), true);
      }
    }

    /** The engine checks its slots at each order. */
    private void simulateLostAndDelayedOrders(Random random, boolean runs) {
      PlacementPlan fresh =
          new PlacementPlan(
              versions, new ModelLoadLimiter(() -> 5_000, 1), new LoadTime(idleStore()));
      FakeEngine other = new FakeEngine();
      fresh.observe(entry(1, true), SPEC, 0);
      List<EndpointOrder> delayed = new java.util.ArrayList<>();
      for (long now = 0; now < 20_000; now += 50) {
        long at = now;
        fresh
            .dueForReport(now)
            .forEach(e -> fresh.reported(e.endpoint(), Optional.of(other.report()), at));
        fresh.request(need(random.nextInt(12)), false, now);
        if (runs) {
          startOrEndARun(other, random);
        }
        Optional<EndpointOrder> order = fresh.nextOrder(ENGINE, DAEMON, 7, now);
        if (order.isPresent()) {
          double draw = random.nextDouble();
          if (draw < 0.6) {
            fresh.ordered(order.get(), other.execute(order.get()), now);
          } else {
            if (draw < 0.8) {
              delayed.add(order.get());
            } else {
              other.execute(order.get());
            }
            fresh.ordered(order.get(), OrderResult.UNKNOWN, now);
          }
        }
        if (!delayed.isEmpty() && random.nextInt(10) == 0) {
          other.execute(delayed.remove(random.nextInt(delayed.size())));
        }
      }
      assertThat(other.sequence).as("orders accepted").isGreaterThan(20);
    }

    private void startOrEndARun(FakeEngine other, Random random) {
      AdapterName name = adapter(random.nextInt(12));
      if (other.running.contains(name)) {
        other.endRun(name);
      } else if (other.held.containsKey(name) && !other.unloading.contains(name)) {
        other.running.add(name);
      }
    }
  }

  /** Guards against requests for adapters that a restarted engine no longer holds. */
  @Nested
  class RestartedEngine {

    @Test
    void isPublishedAsEmptyAndAskedForAReport() {
      load(1, 10);
      plan.drainChanges();
      engine.held.clear();
      engine.sequence = 0;
      plan.observe(entry(2, true), SPEC, 2_000);

      assertThat(plan.drainChanges()).extracting(Placement::readyInMs).contains(-1L);
      assertThat(plan.dueForReport(2_000)).hasSize(1);
    }

    @Test
    void withoutABaseModelLoadsOne() {
      engine.hasModel = false;
      engine.sequence = 0;
      plan.observe(entry(2, false), SPEC, 2_000);
      answerReports(2_000);
      EndpointOrder order = plan.nextOrder(ENGINE, DAEMON, 7, 2_001).orElseThrow();

      assertThat(order.adapter()).isEmpty();
      assertThat(order.model()).isEqualTo(MODEL);
    }
  }

  /**
   * Guards against a second base model on an engine whose list entry is older than its last load.
   */
  @Nested
  class StaleEntry {

    @Test
    void doesNotLoadASecondBaseModel() {
      ModelSpec other = new ModelSpec(new ModelId("other"), 16_100, 600, a -> true);
      EngineSpec two =
          new EngineSpec(96, 200_000, 16_500, SLOTS, 4, List.of(other, SPEC.models().get(0)));
      plan.observe(entry(1, false), two, 500);

      assertThat(plan.nextOrder(ENGINE, DAEMON, 7, 500)).isEmpty();
      assertThat(plan.dueForReport(900)).hasSize(1);
      plan.reported(ENGINE, Optional.of(engine.report()), 901);
      assertThat(plan.nextOrder(ENGINE, DAEMON, 7, 902)).isEmpty();
    }
  }

  /**
   * Guards against an engine that stays unused although its base model is loaded. After a crash it
   * has the weights on its own disk, which takes a third of the time of a load from the store;
   * callers are refused meanwhile if all slots of the other engines are in use.
   */
  @Nested
  class LoadingBaseModel {

    private static final long ORDERED_AT = 2_002;

    @BeforeEach
    void ordered() {
      engine.hasModel = false;
      engine.sequence = 0;
      plan.observe(entry(2, false), SPEC, 2_000);
      answerReports(2_000);
      EndpointOrder order = plan.nextOrder(ENGINE, DAEMON, 7, 2_001).orElseThrow();
      engine.sequence++;
      plan.ordered(order, OrderResult.ACCEPTED, ORDERED_AT);
    }

    private EndpointReport report(boolean busy, long sequence) {
      return new EndpointReport(engine.report().models(), Map.of(), busy, sequence);
    }

    private long reportWhenRequested(long from, EndpointReport report) {
      long now = from;
      while (plan.dueForReport(now).isEmpty()) {
        now += 10;
      }
      plan.reported(ENGINE, Optional.of(report), now);
      return now;
    }

    @Test
    void isDetectedWithinHalfASecond() {
      long requestedAt = reportWhenRequested(ORDERED_AT, report(true, 1));
      engine.hasModel = true;
      long detectedAt = reportWhenRequested(requestedAt + 1, report(false, 1));

      assertThat(detectedAt - requestedAt).isLessThanOrEqualTo(500);
      assertThat(plan.request(need(1), false, detectedAt)).isInstanceOf(LoadReply.Assigned.class);
    }

    @Test
    void reportOlderThanTheOrderCausesNoSecondLoad() {
      long requestedAt = reportWhenRequested(ORDERED_AT, report(false, 0));

      assertThat(plan.nextOrder(ENGINE, DAEMON, 7, requestedAt + 1)).isEmpty();
    }
  }

  @Nested
  class NewVersion {

    @Test
    void replacesARequestedCopy() {
      load(1, 10);
      plan.request(need(1), false, 20);
      versions.announce(adapter(1), 2, 1_000);
      plan.released(adapter(1), 2, 1_000);
      executeAll(1_001);

      assertThat(engine.held).containsEntry(adapter(1), 2L);
    }

    @Test
    void outdatedCopyIsEvictedFirst() {
      for (int i = 1; i <= SLOTS; i++) {
        load(i, i * 1_000L);
      }
      versions.announce(adapter(4), 2, 8_000);
      load(9, 9_000);

      assertThat(engine.held).doesNotContainKey(adapter(4));
    }
  }

  @Nested
  class Eviction {

    private static final long LARGE_FLEET_INTERVAL_MS = 450;

    private boolean isHeldAfterLoadAt(int number, long now) {
      plan.request(need(SLOTS + 1), false, now);
      executeAll(now);
      return plan.holds(adapter(number), 1);
    }

    private void use(long now, int... numbers) {
      List<EndpointUsage.AdapterUse> uses = new ArrayList<>();
      for (int number : numbers) {
        uses.add(new EndpointUsage.AdapterUse(adapter(number), 0, 1));
      }
      plan.updateUsage(DAEMON, List.of(new EndpointUsage(ENGINE, Load.NONE, uses)), now);
    }

    @BeforeEach
    void fillAllSlots() {
      for (int number = 1; number <= SLOTS; number++) {
        plan.request(need(number), false, number * 500L);
        executeAll(number * 500L);
      }
      for (int requests = 0; requests < 6; requests++) {
        use(5_000, 2, 3, 4);
      }
      use(6_000, 1);
    }

    @Test
    void evictsTheLeastRequestedAdapter() {
      assertThat(isHeldAfterLoadAt(1, 6_200)).isFalse();
    }

    /**
     * Guards against the eviction of a copy to which a daemon has just been directed, whose request
     * would be refused.
     */
    @Test
    void sparesAnAdapterThatWasJustRequested() {
      plan.request(need(1), false, 6_980);

      assertThat(isHeldAfterLoadAt(1, 7_000)).isTrue();
    }

    /** Requests sent since the last usage report are unknown for longer in a large fleet. */
    @Test
    void waitsForTheReportsOfALargeFleet() {
      plan.setReportInterval(LARGE_FLEET_INTERVAL_MS);

      assertThat(isHeldAfterLoadAt(1, 6_200)).isTrue();
      assertThat(isHeldAfterLoadAt(1, 6_400)).isTrue();
    }

    @Test
    void resumesAfterTheReportsOfALargeFleet() {
      plan.setReportInterval(LARGE_FLEET_INTERVAL_MS);

      assertThat(isHeldAfterLoadAt(1, 6_700)).isFalse();
    }
  }
}
