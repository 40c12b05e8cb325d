package io.sequoiapass.coordination.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OwnershipReplicaTest {

  private static final DaemonId D1 = new DaemonId("d1");
  private static final DaemonId D2 = new DaemonId("d2");
  private static final DaemonId D3 = new DaemonId("d3");
  private static final EndpointId E1 = new EndpointId("e1");
  private static final EndpointId E2 = new EndpointId("e2");
  private static final EndpointId E3 = new EndpointId("e3");

  private static final OwnershipTable FIRST =
      OwnershipTable.of(10, 1, Map.of(E1, D1, E2, D2), Map.of(D1, 1L, D2, 1L));
  private static final OwnershipTable SECOND =
      OwnershipTable.of(14, 2, Map.of(E1, D2, E3, D3), Map.of(D2, 1L, D3, 7L));
  private static final OwnershipTable THIRD =
      OwnershipTable.of(15, 3, Map.of(E1, D2, E2, D1), Map.of(D1, 2L, D2, 1L));

  private OwnershipReplica replica;

  @BeforeEach
  void createWithFirstTable() {
    replica = OwnershipReplica.create(D3);
    replica.tableReceived(FIRST);
  }

  @Nested
  class Deltas {

    @Test
    void transformBaseIntoNewerTable() {
      OwnershipDelta delta = OwnershipDelta.between(FIRST, SECOND);

      assertThat(delta.changed()).containsOnly(Map.entry(E1, D2), Map.entry(E3, D3));
      assertThat(delta.removed()).containsExactly(E2);
      assertThat(delta.incarnations()).containsOnly(Map.entry(D3, 7L));
      assertThat(replica.deltaReceived(delta)).isTrue();
      assertThat(replica.table()).isEqualTo(SECOND);
    }

    @Test
    void changeNothingWhenRepeated() {
      replica.deltaReceived(OwnershipDelta.between(FIRST, SECOND));
      replica.tableReceived(THIRD);

      assertThat(replica.deltaReceived(OwnershipDelta.between(FIRST, SECOND))).isFalse();
      assertThat(replica.tableReceived(SECOND)).isEmpty();
      assertThat(replica.table()).isEqualTo(THIRD);
    }

    @Test
    void requireIncreasingVersions() {
      assertThatThrownBy(() -> OwnershipDelta.between(SECOND, FIRST))
          .isInstanceOf(IllegalArgumentException.class)
          .hasMessageContaining("14 to 10");
    }
  }

  // Guards against requests that are forwarded to the former owner and refused repeatedly: a daemon
  // misses a delta, and applies the next one to the wrong base or waits for a delta that never
  // arrives.
  @Nested
  class Gap {

    @BeforeEach
    void missSecondTable() {
      assertThat(replica.deltaReceived(OwnershipDelta.between(SECOND, THIRD))).isFalse();
      assertThat(replica.table()).isEqualTo(FIRST);
    }

    @Test
    void requestsFromOnePeerAtATime() {
      DaemonId first = replica.selectPeer(0, List.of(D1, D2)).orElseThrow();

      assertThat(replica.selectPeer(OwnershipReplica.REQUEST_INTERVAL_MILLIS - 1, List.of(D1, D2)))
          .isEmpty();
      assertThat(replica.selectPeer(OwnershipReplica.REQUEST_INTERVAL_MILLIS, List.of(D1, D2)))
          .hasValueSatisfying(second -> assertThat(second).isNotEqualTo(first));
    }

    @Test
    void prefersPeerThatHoldsNewerVersion() {
      replica.peerVersionReceived(D2, THIRD.version());

      assertThat(replica.selectPeer(0, List.of(D1, D2))).hasValue(D2);
    }

    @Test
    void endsWithMissingDelta() {
      replica.deltaReceived(OwnershipDelta.between(FIRST, THIRD));

      assertThat(replica.table()).isEqualTo(THIRD);
      assertThat(replica.selectPeer(0, List.of(D1, D2))).isEmpty();
    }
  }

  @Nested
  class Answers {

    @Test
    void combineLastDeltas() {
      replica.tableReceived(SECOND);
      replica.tableReceived(THIRD);

      OwnershipDelta combined = replica.deltaSince(FIRST.version()).orElseThrow();

      assertThat(combined.applyTo(FIRST)).hasValue(THIRD);
      assertThat(replica.deltaSince(SECOND.version()).orElseThrow().applyTo(SECOND))
          .hasValue(THIRD);
    }

    @Test
    void haveNoDeltaForUnknownVersion() {
      assertThat(replica.deltaSince(9)).isEmpty();
      assertThat(replica.isNewerThan(9)).isTrue();
      assertThat(replica.isNewerThan(FIRST.version())).isFalse();
    }

    @Test
    void keepLimitedHistory() {
      for (int i = 1; i <= OwnershipReplica.HISTORY_SIZE + 1; i++) {
        replica.tableReceived(OwnershipTable.of(10 + i, 1 + i, Map.of(E1, D1), Map.of(D1, 1L)));
      }

      assertThat(replica.deltaSince(10)).isEmpty();
      assertThat(replica.deltaSince(11)).isPresent();
      assertThat(replica.deltaSince(11).orElseThrow().removed()).isEqualTo(Set.of());
    }
  }
}
