package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.gateway.request.Generation;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.List;
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
  private static final int NOT_THERE = -1;
  private static final long PATIENT_MS = 6_000;

  private final EndpointChooser chooser = new EndpointChooser();

  private static Candidate engine(String name, DataCentreId dataCentre) {
    return new Candidate(
        new EndpointId(name),
        dataCentre,
        dataCentre.equals(NORTH),
        64,
        Load.NONE,
        200_000,
        0,
        NOT_THERE,
        false,
        1,
        LOAD_MS);
  }

  private Choice choose(List<Candidate> candidates, DataCentreId... loadable) {
    return chooser.forGeneration(
        candidates, GENERATION, TOKENS_PER_MS, PATIENT_MS, List.of(loadable));
  }

  /**
   * Every engine of one data centre has crashed, while its coordinator still answers; every place
   * of the others is in use. A caller asks for an adapter that is nowhere. If the empty data centre
   * counts as one that may still bring it, the caller is never given a turn at the last one that
   * can: it is refused at once, though a place becomes free long before its deadline.
   */
  @Nested
  class DataCentreWithoutEngines {

    private final List<Candidate> candidates =
        List.of(engine("e1", NORTH), engine("e2", NORTH), engine("e3", SOUTH));

    @Test
    void lastOneWithEnginesGivesTurns() {
      assertThat(choose(candidates, SOUTH, EMPTY))
          .isInstanceOfSatisfying(
              Choice.RequestLoad.class,
              load -> {
                assertThat(load.dataCentre()).isEqualTo(SOUTH);
                assertThat(load.last()).isTrue();
              });
    }

    @Test
    void severalWithEnginesAreAskedInTurn() {
      assertThat(choose(candidates, NORTH, SOUTH, EMPTY))
          .isInstanceOfSatisfying(
              Choice.RequestLoad.class, load -> assertThat(load.last()).isFalse());
    }

    @Test
    void onlyEmptyOnesRefuse() {
      assertThat(choose(candidates, EMPTY)).isInstanceOf(Choice.Refuse.class);
    }
  }
}
