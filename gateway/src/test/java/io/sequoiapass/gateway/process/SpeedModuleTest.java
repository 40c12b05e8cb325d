package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.gateway.connection.RoomMessage;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SpeedModuleTest {

  private static final DataCentreId HERE = new DataCentreId("north");
  private static final EndpointId KNOWN = new EndpointId("e0");
  private static final EndpointEntry ENTRY =
      new EndpointEntry(
          KNOWN,
          new ServiceId("notes"),
          new InetSocketAddress(9000),
          HERE,
          64,
          false,
          7,
          SoftwareVersion.UNSTATED,
          List.of());

  private final GatewayMetrics metrics = new GatewayMetrics();
  private final LinkedDaemon daemon = new LinkedDaemon(null);
  private final SpeedModule module =
      new SpeedModule(
          HERE,
          id -> Optional.of(ENTRY).filter(entry -> entry.endpoint().equals(id)),
          () -> 0,
          DecisionLog.silent(),
          metrics);

  @BeforeEach
  void link() {
    daemon.daemon = new DaemonId("d1");
  }

  /** Guards against a wrong report that changes speeds, or that nobody sees. */
  @ParameterizedTest
  @CsvSource({"e1, 7, 100, gone", "e0, 6, 100, restarted", "e0, 7, -1, invalid"})
  void wrongReportIsCountedAndChangesNothing(
      String endpoint, long startTimeMs, long actualMs, String reason) {
    RoomMessage.SpeedSamples samples =
        new RoomMessage.SpeedSamples(new EndpointId(endpoint), startTimeMs, 1, actualMs, 100);

    module.receive(daemon, new RoomMessage.SpeedReport(List.of(samples)), 0);

    assertThat(metrics.text())
        .contains("sequoiapass_speed_reports_dropped_total{reason=\"" + reason + "\"} 1");
    module.queue(Map.of(), 2_000);
    assertThat(metrics.text()).doesNotContain("sequoiapass_endpoint_slowdown");
  }

  /** Guards against speeds that operators do not see. */
  @Test
  void speedOfAnEndpointIsAMetric() {
    RoomMessage.SpeedSamples samples = new RoomMessage.SpeedSamples(KNOWN, 7, 1, 100, 100);

    module.receive(daemon, new RoomMessage.SpeedReport(List.of(samples)), 0);
    module.queue(Map.of(), 2_000);

    assertThat(metrics.text()).contains("sequoiapass_endpoint_slowdown{endpoint=\"e0\"} 1.00");
  }

  /** Guards against few daemons that all prefer the endpoint which seems faster by chance. */
  @ParameterizedTest
  @CsvSource({"10, false", "11, true"})
  void speedsAreSentInLargeFleetsOnly(int daemons, boolean isSent) {
    assertThat(SpeedModule.isSent(daemons)).isEqualTo(isSent);
  }
}
