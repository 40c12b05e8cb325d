package io.sequoiapass.coordination.version;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DaemonId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FanOutTest {

  private static final DaemonId SENDER = new DaemonId("d0");

  private static List<DaemonId> daemons(int count) {
    return IntStream.rangeClosed(1, count).mapToObj(i -> new DaemonId("d" + i)).toList();
  }

  @Nested
  class Branches {

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 4, 7, 16, 33, 100})
    void reachEachTargetOnceWithAtMostFourSendsPerDaemon(int count) {
      List<DaemonId> targets = daemons(count);
      List<DaemonId> reached = new ArrayList<>();
      Deque<List<DaemonId>> toSend = new ArrayDeque<>(List.of(targets));
      while (!toSend.isEmpty()) {
        List<FanOut.Branch> branches = FanOut.branches(toSend.remove());
        assertThat(branches).hasSizeLessThanOrEqualTo(4);
        branches.forEach(
            branch -> {
              reached.add(branch.child());
              toSend.add(branch.rest());
            });
      }
      assertThat(reached).containsExactlyInAnyOrderElementsOf(targets);
    }
  }

  @Nested
  class Order {

    @Test
    void unresponsiveTargetsAreOrderedLast() {
      List<DaemonId> targets = daemons(7);
      Set<DaemonId> live = Set.copyOf(targets.subList(2, 7));
      List<DaemonId> order = FanOut.order(SENDER, targets, live);
      assertThat(order).containsExactlyInAnyOrderElementsOf(targets);
      assertThat(live).containsAll(order.subList(0, 5));
    }
  }
}
