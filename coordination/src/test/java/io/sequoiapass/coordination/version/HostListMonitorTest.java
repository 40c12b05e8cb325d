package io.sequoiapass.coordination.version;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.HostId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.process.FencePolicy;
import io.sequoiapass.coordination.process.HostHint;
import io.sequoiapass.coordination.version.ConfigurationObject.EndpointRecord;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HostListMonitorTest {

  private static final HostId H1 = new HostId("h1");
  private static final HostId H2 = new HostId("h2");
  private static final HostId H3 = new HostId("h3");
  private static final Set<HostId> IN_USE = Set.of(H1, H2, H3);
  private static final long RECOVERY_DELAY = HostListMonitor.RECOVERY_DELAY_MILLIS;

  private static HostReport live(HostId host) {
    return new HostReport(host, HostHint.LIVE, Set.of());
  }

  private static HostReport leaving(HostId host) {
    return new HostReport(host, HostHint.LEAVING, Set.of());
  }

  private static HostListMonitor monitor(String name) {
    return HostListMonitor.create(new DaemonId(name));
  }

  @Nested
  class OneReader {

    private final HostListMonitor monitor = monitor("d1");

    @Test
    void aLeavingHostIsReportedImmediatelyAndALiveOneAfterTheRecoveryDelay() {
      monitor.read(0, List.of(live(H1), live(H2)), IN_USE);
      assertThat(monitor.read(10, List.of(leaving(H1), live(H2)), IN_USE)).isPresent();
      assertThat(monitor.hints().of(H1)).isEqualTo(HostHint.LEAVING);
      assertThat(monitor.read(20, List.of(live(H1), live(H2)), IN_USE)).isEmpty();
      assertThat(monitor.read(20 + RECOVERY_DELAY - 1, List.of(live(H1), live(H2)), IN_USE))
          .isEmpty();
      assertThat(monitor.read(20 + RECOVERY_DELAY, List.of(live(H1), live(H2)), IN_USE))
          .isPresent();
      assertThat(monitor.hints().of(H1)).isEqualTo(HostHint.LIVE);
    }

    @Test
    void aFlappingHostStaysLeaving() {
      for (long now = 0; now < 10 * RECOVERY_DELAY; now += 1_000) {
        boolean odd = now / 1_000 % 2 == 1;
        monitor.read(now, List.of(odd ? live(H1) : leaving(H1), live(H2)), IN_USE);
        assertThat(monitor.hints().of(H1)).isEqualTo(HostHint.LEAVING);
      }
    }

    @Test
    void aMissingHostIsAbsentAndAnEmptyListIsRejected() {
      monitor.read(0, List.of(live(H1), live(H2), live(H3)), IN_USE);
      assertThat(monitor.read(10, List.of(), IN_USE)).isEmpty();
      assertThat(monitor.read(20, List.of(live(H2), live(H3)), IN_USE)).isPresent();
      assertThat(monitor.hints().of(H1)).isEqualTo(HostHint.ABSENT);
      assertThat(monitor.read(30, List.of(), IN_USE)).isEmpty();
      assertThat(monitor.hints().of(H1)).isEqualTo(HostHint.ABSENT);
    }

    @Test
    void aHostWithoutEndpointsIsNotReportedAbsent() {
      monitor.read(0, List.of(live(H1), live(H2), live(H3)), IN_USE);
      assertThat(monitor.read(10, List.of(live(H2), live(H3)), Set.of(H2, H3))).isEmpty();
    }
  }

  @Nested
  class SeveralReaders {

    @Test
    void aReaderWithAnOlderListDoesNotRestoreAHostImmediately() {
      HostListMonitor ahead = monitor("d1");
      HostListMonitor behind = monitor("d2");
      behind.received(ahead.read(0, List.of(leaving(H1)), IN_USE).orElseThrow());
      assertThat(behind.read(1, List.of(live(H1)), IN_USE)).isEmpty();
      assertThat(behind.hints().of(H1)).isEqualTo(HostHint.LEAVING);
    }

    @Test
    void aStalePeersHintsAreIgnored() {
      HostListMonitor monitor = monitor("d1");
      HostHints old = monitor.read(0, List.of(leaving(H1)), IN_USE).orElseThrow();
      HostHints recent = monitor.read(1, List.of(leaving(H1), leaving(H2)), IN_USE).orElseThrow();
      assertThat(monitor.received(old)).isFalse();
      assertThat(monitor.hints()).isEqualTo(recent);
    }
  }

  @Nested
  class Snapshots {

    private final ConfigurationStore store =
        ConfigurationStore.create(ConfigurationStore.TOMBSTONE_RETENTION_MILLIS);
    private final HintedSnapshots hinted = new HintedSnapshots();

    private EndpointRecord endpoint(String id, HostId host, EndpointState state) {
      return new EndpointRecord(
          new EndpointId(id),
          1,
          "127.0.0.1:1",
          new DataCentreId("yard-north"),
          host,
          EndpointType.ENGINE,
          Optional.of(new ModelId("base")),
          Optional.empty(),
          OptionalInt.of(4),
          4,
          FencePolicy.CHECKS,
          state);
    }

    @Test
    void hintsDrainEndpointsAndNeverReactivateThem() {
      store.apply(
          0,
          List.of(
              endpoint("e1", H1, EndpointState.ACTIVE), endpoint("e2", H2, EndpointState.LEAVING)));
      HostHints hints = HostHints.of(1, new DaemonId("d1"), List.of(leaving(H1)));
      ConfigurationSnapshot withHints = hinted.apply(store.snapshot(), hints);
      assertThat(withHints.endpoints()).noneMatch(EndpointRecord::takesNewWork);
      assertThat(withHints.endpoint(new EndpointId("e1")).orElseThrow().takesNewWork()).isFalse();
      assertThat(hinted.apply(store.snapshot(), hints).endpoints()).isSameAs(withHints.endpoints());
      ConfigurationSnapshot withoutHints = hinted.apply(store.snapshot(), HostHints.NONE);
      assertThat(withoutHints.endpoint(new EndpointId("e1")).orElseThrow().takesNewWork()).isTrue();
      assertThat(withoutHints.endpoint(new EndpointId("e2")).orElseThrow().takesNewWork())
          .isFalse();
    }

    @Test
    void anEndpointThatOnlyTheListPlacesOnTheHostIsDrainedToo() {
      store.apply(0, List.of(endpoint("e1", H1, EndpointState.ACTIVE)));
      HostReport report = new HostReport(H3, HostHint.LEAVING, Set.of(new EndpointId("e1")));
      HostHints hints = HostHints.of(1, new DaemonId("d1"), List.of(report));
      assertThat(hinted.apply(store.snapshot(), hints).endpoints())
          .noneMatch(EndpointRecord::takesNewWork);
    }
  }
}
