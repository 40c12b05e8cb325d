package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.daemon.connection.ReusePolicy;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.spi.EndpointNotice;
import io.sequoiapass.gateway.version.AdapterVersions;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A new process under the name of an endpoint that answers before its list entry arrives. */
class EndpointRestartTest {

  private static final DataCentreId HERE = new DataCentreId("north");
  private static final EndpointId ENDPOINT = new EndpointId("e1");

  private final EndpointGroup group =
      new EndpointGroup(HERE, new AdapterVersions(2_500), any -> {}, () -> 0);

  private void start(long startTimeMs, long now) {
    EndpointEntry entry =
        new EndpointEntry(
            ENDPOINT,
            new ServiceId("notes"),
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 9_000),
            HERE,
            8,
            false,
            startTimeMs,
            SoftwareVersion.UNSTATED,
            List.of());
    group.put(entry, true, now);
  }

  private Optional<EndpointTicket> begin(long now) {
    Demand demand =
        new Demand(
            Optional.empty(),
            Set.of(),
            Optional.empty(),
            PlanFixtures.FLOW,
            ReusePolicy.ANY,
            5_000);
    return group.begin(ENDPOINT, demand, now);
  }

  private static void askForRest(EndpointTicket ticket, long now) {
    EndpointNotice rest =
        new EndpointNotice(
            OptionalDouble.empty(), OptionalLong.of(3_000), OptionalInt.empty(), false);
    ticket.noticed(rest, true, now);
  }

  @BeforeEach
  void earlierProcess() {
    start(1, 0);
  }

  @Test
  void restsIfItsEntryArrivesAfterTheAnswer() {
    askForRest(begin(10).orElseThrow(), 20);
    start(2, 30);

    assertThat(begin(3_019)).isEmpty();
    assertThat(begin(3_020)).isPresent();
  }

  @Test
  void restsIfItsEntryArrivesBetweenRequestAndAnswer() {
    EndpointTicket sent = begin(10).orElseThrow();
    start(2, 20);
    askForRest(sent, 30);

    assertThat(begin(3_029)).isEmpty();
    assertThat(begin(3_030)).isPresent();
  }
}
