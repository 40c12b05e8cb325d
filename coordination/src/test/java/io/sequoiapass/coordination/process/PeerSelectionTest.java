package io.sequoiapass.coordination.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.process.PeerSelection.Member;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PeerSelectionTest {

  private final PeerSelection selection = new PeerSelection(new Random(7));

  /** Returns a region with equally many daemons in each data centre. */
  private static List<Member> region(int dataCentres, int daemonsEach, int cutOffOfFirst) {
    List<Member> members = new ArrayList<>();
    for (int dataCentre = 0; dataCentre < dataCentres; dataCentre++) {
      for (int i = 0; i < daemonsEach; i++) {
        boolean serves = dataCentre > 0 || i >= cutOffOfFirst;
        members.add(
            new Member(
                new DaemonId("d" + dataCentre + "-" + i),
                new DataCentreId("dc" + dataCentre),
                serves));
      }
    }
    return members;
  }

  @Nested
  class Peers {

    @Test
    void areOfTheSameDataCentreWhileTheyAreEnough() {
      List<Member> members = region(3, 3, 1);

      assertThat(selection.select(members.get(0), members))
          .containsExactlyInAnyOrder(new DaemonId("d0-1"), new DaemonId("d0-2"));
    }

    @Test
    void areOfTheWholeRegionIfMostOfTheDataCentreIsCutOff() {
      List<Member> members = region(3, 2, 2);

      assertThat(selection.select(members.get(0), members))
          .hasSize(4)
          .noneMatch(daemon -> daemon.value().startsWith("d0"));
    }

    @Test
    void neverIncludeTheDaemonItselfOrOneThatIsCutOff() {
      List<Member> members = region(1, 2, 1);
      Member reachable = members.get(1);

      assertThat(selection.select(reachable, members)).isEmpty();
      assertThat(selection.select(members.get(0), members)).containsExactly(reachable.daemon());
    }
  }

  /** Guards against peers that take the load of many daemons while others take none. */
  @Nested
  class Load {

    /** Beyond the mean load of a peer, in daemons: random choices do not spread evenly. */
    private static final double UNEVEN = 1.5;

    @ParameterizedTest
    @CsvSource({"3,2,1", "3,2,2", "3,3,3", "4,2,2", "4,17,17", "4,100,30", "4,100,100"})
    void isSpreadOverThePeers(int dataCentres, int daemonsEach, int cutOff) {
      List<Member> members = region(dataCentres, daemonsEach, cutOff);
      Map<DaemonId, Double> load = new HashMap<>();
      for (Member member : members.subList(0, cutOff)) {
        List<DaemonId> peers = selection.select(member, members);
        assertThat(peers).isNotEmpty();
        peers.forEach(peer -> load.merge(peer, 1.0 / peers.size(), Double::sum));
      }
      boolean nearPeers = daemonsEach - cutOff >= cutOff;
      int candidates = nearPeers ? daemonsEach - cutOff : dataCentres * daemonsEach - cutOff;

      assertThat(load.values())
          .allMatch(daemons -> daemons <= (double) cutOff / candidates + UNEVEN);
    }
  }
}
