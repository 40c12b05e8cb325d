package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.gateway.request.Generation;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EndpointChooserTest {

  private static final DataCentreId NORTH = new DataCentreId("north");
  private static final DataCentreId SOUTH = new DataCentreId("south");
  private static final DataCentreId EMPTY = new DataCentreId("empty");
  private static final ModelId MODEL = new ModelId("base");
  private static final Generation GENERATION =
      new Generation(
          MODEL, Optional.of(new AdapterName(MODEL, new AdapterId("a1"))), 500, 70, List.of());
  private static final double TOKENS_PER_MS = 30;
  private static final long LOAD_MS = 250;
  private static final long MEMORY_MS = 30;
  private static final int NOT_THERE = -1;
  private static final long REMAINING_MS = 6_000;

  private final EndpointChooser chooser = new EndpointChooser(new LoadUncertainty(() -> 0));

  private static Candidate engine(String name, DataCentreId dataCentre) {
    return engine(name, dataCentre, false);
  }

  private static Candidate cachingEngine(String name, DataCentreId dataCentre) {
    return engine(name, dataCentre, true);
  }

  private static Candidate engine(String name, DataCentreId dataCentre, boolean caches) {
    return new Candidate(
        new EndpointId(name),
        dataCentre,
        dataCentre.equals(NORTH),
        64,
        Load.NONE,
        200_000,
        0,
        NOT_THERE,
        caches,
        1,
        caches ? MEMORY_MS : LOAD_MS,
        0);
  }

  private Choice choose(
      List<Candidate> candidates, Map<DataCentreId, Long> queueWaitsMs, DataCentreId... loadable) {
    return chooser.forGeneration(
        candidates,
        GENERATION,
        TOKENS_PER_MS,
        REMAINING_MS,
        new EndpointChooser.Loadable(List.of(loadable), queueWaitsMs));
  }

  private static Choice.RequestLoad load(Choice choice) {
    assertThat(choice).isInstanceOf(Choice.RequestLoad.class);
    return (Choice.RequestLoad) choice;
  }

  /**
   * Guards against refusals because of a data centre without engines. All its engines have crashed
   * while its coordinator still responds, and all slots elsewhere are in use. If it counted as able
   * to load an adapter, the caller would not be queued elsewhere and would be refused, although a
   * slot becomes free long before its deadline.
   */
  @Nested
  class DataCentreWithoutEngines {

    private final List<Candidate> candidates =
        List.of(engine("e1", NORTH), engine("e2", NORTH), engine("e3", SOUTH));

    @Test
    void isNotWaitedFor() {
      Choice.RequestLoad load =
          load(choose(candidates, Map.of(NORTH, 200L, SOUTH, 90L), NORTH, SOUTH, EMPTY));

      assertThat(load.dataCentre()).isEqualTo(SOUTH);
      assertThat(load.waits()).isTrue();
    }

    @Test
    void aloneCausesARefusal() {
      assertThat(choose(candidates, Map.of(), EMPTY)).isInstanceOf(Choice.Refuse.class);
    }
  }

  /**
   * All slots of the data centre whose engine has the adapter cached are in use, but one becomes
   * free soon, and a load from memory is fast. A load from the store to another engine takes a
   * quarter of a second, and its transfer delays all other loads.
   */
  @Nested
  class CachingEngineWithoutAFreeSlot {

    private static final Candidate CACHING_ENGINE = cachingEngine("e3", SOUTH);
    private final List<Candidate> candidates = List.of(engine("e1", NORTH), CACHING_ENGINE);

    @Test
    void isAwaitedIfASlotBecomesFreeSoon() {
      Choice.RequestLoad load = load(choose(candidates, Map.of(SOUTH, 60L), NORTH, SOUTH));

      assertThat(load.dataCentre()).isEqualTo(SOUTH);
      assertThat(load.waits()).isTrue();
    }

    @Test
    void isNotAwaitedIfItTakesLonger() {
      Choice.RequestLoad load = load(choose(candidates, Map.of(SOUTH, 900L), NORTH, SOUTH));

      assertThat(load.dataCentre()).isEqualTo(NORTH);
      assertThat(load.waits()).isFalse();
    }
  }

  /**
   * A request would be refused because its cheapest way is too late, although another is in time.
   */
  @Nested
  class CheapestIsTooLate {

    private static final long SERVICE_MS = 60;

    @Test
    void loadsInTheDataCentreThatIsInTime() {
      List<Candidate> candidates = List.of(engine("e1", NORTH), cachingEngine("e3", SOUTH));
      EndpointChooser.Loadable loadable =
          new EndpointChooser.Loadable(List.of(NORTH, SOUTH), Map.of(SOUTH, 290L));

      Choice choice = chooser.forGeneration(candidates, GENERATION, TOKENS_PER_MS, 310, loadable);

      assertThat(load(choice).dataCentre()).isEqualTo(NORTH);
    }

    @Test
    void sendsToTheHolderThatIsInTime() {
      Candidate reading = holder("reading", new Load(0, 6_000, 0, 0), 0);
      Candidate busy = holder("busy", new Load(40, 0, 0, 60_000), 0);
      EndpointChooser.Loadable none = new EndpointChooser.Loadable(List.of(), Map.of());

      Choice choice =
          chooser.forGeneration(List.of(reading, busy), GENERATION, TOKENS_PER_MS, 150, none);

      assertThat(((Choice.Send) choice).candidate()).isEqualTo(busy);
    }

    @Test
    void callsTheEndpointThatIsInTimeOverANewConnection() {
      Candidate open = holder("open", new Load(100, 0, 0, 0), 0);
      Candidate idle = holder("idle", Load.NONE, ConnectionCost.OUTSIDE_MS + 100);

      Choice choice = chooser.forCall(List.of(open, idle), SERVICE_MS, 80);

      assertThat(((Choice.Send) choice).candidate()).isEqualTo(idle);
    }

    @Test
    void isRefusedIfNothingIsInTime() {
      Candidate reading = holder("reading", new Load(0, 6_000, 0, 0), 0);

      assertThat(chooser.forCall(List.of(reading), SERVICE_MS, 10))
          .isInstanceOf(Choice.Refuse.class);
    }

    private static Candidate holder(String name, Load load, double connectionMs) {
      return new Candidate(
          new EndpointId(name), NORTH, true, 64, load, 0, 0, 0, false, 1, 0, connectionMs);
    }
  }
}
