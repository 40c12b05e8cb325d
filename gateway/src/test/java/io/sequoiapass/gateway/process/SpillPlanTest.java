package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DataCentreId;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Three data centres of 100 slots; rounds of 450 ms. */
class SpillPlanTest {

  private static final DataCentreId NORTH = new DataCentreId("north");
  private static final DataCentreId SOUTH = new DataCentreId("south");
  private static final DataCentreId EAST = new DataCentreId("east");
  private static final double STEP = SpillPlan.STEP_PER_S * 0.45 + 1e-9;

  private final SpillPlan plan = new SpillPlan(NORTH);
  private final Map<DataCentreId, SpillPlan.Load> loads = new HashMap<>();
  private long now;

  private void load(DataCentreId dataCentre, int used) {
    loads.put(dataCentre, new SpillPlan.Load(100, Map.of(dataCentre, used), false));
  }

  private Map<DataCentreId, Double> rounds(int count) {
    Map<DataCentreId, Double> shares = Map.of();
    for (int i = 0; i < count; i++) {
      now += 450;
      shares = new HashMap<>(plan.update(loads, now));
    }
    assertThat(total(shares)).isIn(0.0, 1.0);
    shares.remove(NORTH);
    return shares;
  }

  private static double total(Map<DataCentreId, Double> shares) {
    return shares.values().stream().mapToDouble(Double::doubleValue).sum();
  }

  @Test
  void isZeroWhileEachServesItsOwn() {
    load(NORTH, 88);
    load(SOUTH, 20);

    assertThat(rounds(20)).isEmpty();
  }

  @Test
  void sendsTheExcessInProportionToRoom() {
    load(NORTH, 120);
    load(SOUTH, 55);
    load(EAST, 75);

    Map<DataCentreId, Double> shares = rounds(20);

    assertThat(total(shares)).isBetween(0.26, 0.30);
    assertThat(shares.get(SOUTH) / shares.get(EAST)).isBetween(2.9, 3.1);
  }

  @Test
  void sendsNoMoreThanThereIsRoomFor() {
    load(NORTH, 160);
    load(SOUTH, 75);
    load(EAST, 85);

    Map<DataCentreId, Double> shares = rounds(20);

    assertThat(shares).containsOnlyKeys(SOUTH);
    assertThat(shares.get(SOUTH) * 160).isLessThan(10.1);
  }

  @Test
  void dividesRoomAmongThoseThatLackIt() {
    load(NORTH, 120);
    load(EAST, 120);
    load(SOUTH, 65);

    assertThat(total(rounds(20)) * 120).isBetween(7.0, 10.1);
  }

  @Test
  void keepsItsDemandWhileAnotherSends() {
    load(NORTH, 50);
    loads.put(SOUTH, new SpillPlan.Load(100, Map.of(SOUTH, 120), true));

    assertThat(plan.update(loads, 450)).containsExactly(Map.entry(NORTH, 1.0));
  }

  @Test
  void endsByStepsWhenTheExcessIsOver() {
    load(NORTH, 120);
    load(SOUTH, 40);
    double before = total(rounds(20));
    load(NORTH, 60);
    for (int i = 0; i < 12; i++) {
      double after = total(rounds(1));
      assertThat(before - after).isLessThanOrEqualTo(STEP);
      before = after;
    }

    assertThat(before).isZero();
  }

  @Test
  void withoutOwnSlotsThereIsNoPlan() {
    load(SOUTH, 10);
    loads.put(NORTH, new SpillPlan.Load(0, Map.of(NORTH, 50), false));

    assertThat(rounds(10)).isEmpty();
  }

  @Nested
  class Failure {

    /** A data centre is cut off while it takes a share: the other takes over, then gives back. */
    @Test
    void ofATakerMovesItsShareAtOnceAndReturnsItSmoothly() {
      load(NORTH, 120);
      load(SOUTH, 40);
      load(EAST, 40);
      double before = total(rounds(20));
      SpillPlan.Load south = loads.remove(SOUTH);

      Map<DataCentreId, Double> after = rounds(1);
      assertThat(after).containsOnlyKeys(EAST);
      assertThat(total(after)).isGreaterThan(before * 0.9);

      loads.put(SOUTH, south);
      assertThat(rounds(1).getOrDefault(SOUTH, 0.0)).isLessThanOrEqualTo(STEP / 2);
      assertThat(total(rounds(10))).isBetween(before * 0.9, before * 1.1);
    }
  }
}
