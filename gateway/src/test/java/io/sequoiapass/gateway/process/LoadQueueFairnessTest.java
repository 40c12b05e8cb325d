package io.sequoiapass.gateway.process;

import static io.sequoiapass.gateway.process.PlanFixtures.adapter;
import static io.sequoiapass.gateway.process.PlanFixtures.idleStore;
import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.WorkspaceId;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.connection.LinkMessage.Placement;
import io.sequoiapass.gateway.spi.EndpointOrder;
import io.sequoiapass.gateway.spi.EndpointReport;
import io.sequoiapass.gateway.spi.OrderResult;
import io.sequoiapass.gateway.version.AdapterVersions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Shares of priorities and workspaces while all adapter slots hold adapters in use. */
class LoadQueueFairnessTest {

  private static final DaemonId DAEMON = new DaemonId("north-1");
  private static final QueuedLoads.Source SOURCE =
      new QueuedLoads.Source(new LinkedDaemon(null), 1);
  private static final int ENGINES = 4;
  private static final int SLOTS = 4;
  private static final int WORKSPACES = 8;
  private static final long HOLD_MS = 400;
  private static final long END_MS = 13_000;
  private static final long STEP_MS = 20;

  /** Relaxed callers a second that leave few slots free. */
  private static final double BUSY_PER_S = 14;

  private static final int URGENT = 0;
  private static final int RELAXED = 2;

  private static final class Caller {
    final int number;
    final int workspace;
    final int priority;
    final long arrivedAt;
    final long returnKey;
    long waitsUntil;
    long repeatAt = Long.MAX_VALUE;
    long placedAt = -1;

    Caller(int number, int workspace, int priority, long arrivedAt) {
      this.number = number;
      this.workspace = workspace;
      this.priority = priority;
      this.arrivedAt = arrivedAt;
      this.returnKey = number;
    }

    boolean isUrgent() {
      return priority == URGENT;
    }

    boolean isInTime() {
      return placedAt >= 0 && placedAt <= arrivedAt + (isUrgent() ? 700 : 1_500);
    }

    LoadQueue.Entry entry(LoadQueue queue, long now) {
      Flow flow = Flow.of(priority, Optional.of(new WorkspaceId("w" + workspace)));
      long inTimeUntil = arrivedAt + (isUrgent() ? 700 : 1_500);
      waitsUntil = arrivedAt + (isUrgent() ? 3_000 : 6_000);
      return new LoadQueue.Entry(
          new LoadNeed(
              adapter(number), 1, new RequestSize(800, 200), flow, Set.of(), Optional.empty()),
          inTimeUntil,
          waitsUntil,
          queue.place(returnKey, inTimeUntil, now));
    }
  }

  /** Callers of distinct adapters before a few engines; each occupies its slot for a while. */
  private static final class Site {
    final PlacementPlan plan =
        new PlacementPlan(
            new AdapterVersions(2_500),
            new ModelLoadLimiter(() -> 5_000, 1),
            new LoadTime(idleStore()));
    final LoadQueue queue = new LoadQueue(plan, name -> false);
    final Random random = new Random(7);
    final List<Caller> callers = new ArrayList<>();
    final Map<EndpointId, List<long[]>> running = new HashMap<>();
    double urgentPerS = 4;
    double relaxedPerS = 8;
    double hotTimes = 1;
    int hotWorkspaces;
    long repeatMs = Long.MAX_VALUE;

    Site(int engines) {
      for (int engine = 0; engine < engines; engine++) {
        var entry = PlanFixtures.entry(new EndpointId("e" + engine), 1, true);
        plan.observe(entry, PlanFixtures.engineOf(SLOTS), 0);
        running.put(entry.endpoint(), new ArrayList<>());
        var report = new EndpointReport(entry.models(), Map.of(), false, 0);
        plan.dueForReport(0).forEach(e -> plan.reported(e.endpoint(), Optional.of(report), 0));
      }
    }

    Site run() {
      for (long now = 1_000; now < END_MS; now += STEP_MS) {
        arrive(URGENT, urgentPerS, now);
        arrive(RELAXED, relaxedPerS, now);
        report(now);
        queue.dispatch(now).forEach(expired -> expired(expired));
        for (Caller caller : callers) {
          if (caller.placedAt < 0 && now >= caller.repeatAt && now < caller.waitsUntil) {
            request(caller, now);
          }
        }
        place(now);
      }
      return this;
    }

    private void expired(LoadQueue.Expired expired) {
      callers.stream()
          .filter(caller -> adapter(caller.number).equals(expired.adapter()))
          .forEach(caller -> caller.repeatAt = repeats(caller) ? 0 : Long.MAX_VALUE);
    }

    private boolean repeats(Caller caller) {
      return repeatMs < Long.MAX_VALUE && caller.workspace == 0;
    }

    private void arrive(int priority, double perS, long now) {
      for (int workspace = 0; workspace < WORKSPACES; workspace++) {
        double times = workspace < hotWorkspaces && priority == RELAXED ? hotTimes : 1;
        if (random.nextDouble() < perS / WORKSPACES * times * STEP_MS / 1_000) {
          Caller caller = new Caller(callers.size(), workspace, priority, now);
          callers.add(caller);
          request(caller, now);
        }
      }
    }

    private void request(Caller caller, long now) {
      LoadReply reply = queue.loadOrEnqueue(caller.entry(queue, now), SOURCE, now);
      boolean isRejected = reply instanceof LoadReply.Rejected;
      caller.repeatAt = isRejected && repeats(caller) ? now + repeatMs : Long.MAX_VALUE;
    }

    private void report(long now) {
      List<EndpointUsage> usages = new ArrayList<>();
      running.forEach(
          (endpoint, held) -> {
            held.removeIf(one -> one[1] <= now);
            List<EndpointUsage.AdapterUse> uses = new ArrayList<>();
            held.forEach(
                one -> uses.add(new EndpointUsage.AdapterUse(adapter((int) one[0]), 1, 1)));
            usages.add(new EndpointUsage(endpoint, Load.NONE, uses));
          });
      plan.updateUsage(DAEMON, usages, now);
    }

    private void place(long now) {
      for (Placement placement : plan.drainChanges()) {
        int number = Integer.parseInt(placement.adapter().adapter().value().substring(1));
        if (placement.readyInMs() >= 0 && callers.get(number).placedAt < 0) {
          callers.get(number).placedAt = now;
          long until = now + placement.readyInMs() + HOLD_MS;
          running.get(placement.endpoint()).add(new long[] {number, until});
        }
      }
      for (EndpointId id : plan.endpoints()) {
        Optional<EndpointOrder> order = plan.nextOrder(id, DAEMON, 7, now);
        while (order.isPresent()) {
          boolean unload = order.get().type() == EndpointOrder.Type.UNLOAD;
          plan.ordered(order.get(), unload ? OrderResult.DONE : OrderResult.ACCEPTED, now);
          order = plan.nextOrder(id, DAEMON, 7, now);
        }
      }
    }

    /** Returns the part of the callers with a known outcome that was served in time. */
    double inTime(Predicate<Caller> which) {
      return part(which, Caller::isInTime);
    }

    /** Returns the part of the callers with a known outcome that was served. */
    double served(Predicate<Caller> which) {
      return part(which, caller -> caller.placedAt >= 0);
    }

    private double part(Predicate<Caller> which, Predicate<Caller> outcome) {
      List<Caller> counted =
          callers.stream().filter(which).filter(one -> one.waitsUntil < END_MS).toList();
      return counted.stream().filter(outcome).count() / (double) counted.size();
    }
  }

  @Nested
  class Priorities {

    /** Guards against a burst of a less urgent kind that takes the room of a more urgent one. */
    @Test
    void urgentCallersKeepTheirRoomInABurstOfRelaxedOnes() {
      Site site = new Site(ENGINES);
      site.relaxedPerS = BUSY_PER_S * 2.5;
      site.run();

      assertThat(site.served(caller -> !caller.isUrgent())).isLessThan(0.95);
      assertThat(site.inTime(Caller::isUrgent)).isGreaterThan(0.97);
    }

    /** Guards against the same while a quarter of the slots is gone. */
    @Test
    void urgentCallersKeepTheirRoomWhileEnginesAreGone() {
      Site site = new Site(ENGINES - 1);
      site.relaxedPerS = BUSY_PER_S * 2.5;
      site.run();

      assertThat(site.served(Caller::isUrgent)).isGreaterThan(0.97);
    }

    /** Guards against a strict order, in which urgent callers alone take all slots. */
    @Test
    void relaxedCallersAreNotStarved() {
      Site site = new Site(ENGINES - 1);
      site.urgentPerS *= 10;
      site.run();

      double relaxed = site.served(caller -> !caller.isUrgent());
      assertThat(relaxed).isGreaterThan(0.25 * site.served(caller -> true));
      assertThat(relaxed).isLessThan(site.served(Caller::isUrgent));
    }
  }

  @Nested
  class Workspaces {

    private double othersServed(int hotWorkspaces, double times) {
      Site site = new Site(ENGINES);
      site.relaxedPerS = BUSY_PER_S;
      site.hotWorkspaces = hotWorkspaces;
      site.hotTimes = times;
      site.run();
      return site.served(caller -> caller.workspace >= hotWorkspaces);
    }

    /** Guards against a workspace whose many requests take the room of the others. */
    @Test
    void oneAtSevenTimesItsUsualTakesWhatOthersLeave() {
      assertThat(othersServed(1, 7)).isGreaterThan(0.98 * othersServed(1, 1));
    }

    /** Guards against shares that hold for a single workspace only. */
    @Test
    void threeAtFourTimesTheirUsualTakeWhatOthersLeave() {
      assertThat(othersServed(3, 4)).isGreaterThan(0.98 * othersServed(3, 1));
    }
  }

  @Nested
  class Returns {

    /** Guards against callers that gain room by retrying at once and often. */
    @Test
    void repeatsAtOnceGainNothingAndCostNothing() {
      Site site = new Site(ENGINES - 1);
      site.relaxedPerS *= 4;
      site.repeatMs = STEP_MS;
      site.run();

      double others = site.served(caller -> caller.workspace != 0);
      assertThat(site.served(caller -> caller.workspace == 0)).isLessThan(1.25 * others);
    }
  }
}
