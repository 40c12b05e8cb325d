package io.sequoiapass.gateway.connection;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.WorkspaceId;
import io.sequoiapass.coordination.process.ClockReading;
import io.sequoiapass.coordination.process.WorkspaceShare;
import io.sequoiapass.coordination.process.WorkspaceUsage;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.process.EndpointUsage;
import io.sequoiapass.gateway.process.Load;
import io.sequoiapass.gateway.process.LoadTimeEstimates;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.version.AdapterName;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class LinkFramesTest {

  private static final AdapterName ADAPTER =
      new AdapterName(new ModelId("base"), new AdapterId("a7"));
  private static final EndpointId ENGINE = new EndpointId("engine-1");
  private static final Load LOAD = new Load(3, 9_190, 12_000, 700);

  private static final WorkspaceId WORKSPACE = new WorkspaceId("yards");
  private static final Flow FLOW = new Flow(2, Optional.of(WORKSPACE));
  private static final ServiceId SERVICE = new ServiceId("notes");
  private static final ClockReading CLOCKS = new ClockReading(81_000, 1_700_000_000_000L);

  private static final InetSocketAddress PEERS =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 7002);

  private static EndpointEntry entry() {
    return new EndpointEntry(
        ENGINE,
        new ServiceId("notes"),
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 9000),
        new DataCentreId("north"),
        96,
        true,
        1_700_000_000_000L,
        new SoftwareVersion("v1.2"),
        List.of(new EndpointEntry.HeldModel(ADAPTER.model(), 2, Map.of(ADAPTER.adapter(), 3L))));
  }

  static Stream<LinkMessage> messages() {
    return Stream.of(
        new LinkMessage.Hello(new DaemonId("north-1"), new DataCentreId("north"), 700, PEERS),
        new LinkMessage.Peers(List.of(new LinkMessage.Peer(new DaemonId("north-2"), PEERS))),
        new LinkMessage.UsageReport(
            true,
            false,
            CLOCKS,
            List.of(
                new EndpointUsage(
                    ENGINE, LOAD, List.of(new EndpointUsage.AdapterUse(ADAPTER, 2, 5)))),
            List.of(new WorkspaceUsage(WORKSPACE, 18_380, 9_190))),
        new LinkMessage.LoadRequest(
            ADAPTER, 3, FLOW, true, 9_190, 52, 450, 1_600, 1_700, -7L, 12, true, List.of(ENGINE)),
        new LinkMessage.AdapterMiss(ENGINE, ADAPTER, true),
        new LinkMessage.PermitRequest(ENGINE, 2.5, 4, 800),
        new LinkMessage.PermitReply(ENGINE, LinkMessage.PermitReply.Type.QUEUED, 400),
        new LinkMessage.CoordinatorStatus(
            4,
            512,
            6,
            false,
            new LinkMessage.StoreView(7, 120),
            LinkMessage.StoreView.NONE,
            new LinkMessage.StoreView(9, 0),
            new LoadTimeEstimates(310, 28, 102),
            true,
            List.of(new WorkspaceShare(WORKSPACE, 0.4)),
            true,
            List.of(
                new LinkMessage.CoordinatorAddress(
                    new DataCentreId("south"),
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 7001)))),
        new LinkMessage.Endpoints(
            true,
            900,
            List.of(new LinkMessage.ListedEndpoint(entry(), 880)),
            List.of(new LinkMessage.GoneEndpoint(new EndpointId("engine-2"), 890, 2_200))),
        new LinkMessage.Placements(
            true, List.of(new LinkMessage.Placement(ENGINE, ADAPTER, 3, -1))),
        new LinkMessage.Loads(
            Optional.of(CLOCKS),
            77,
            Optional.of(CLOCKS),
            List.of(new LinkMessage.EndpointLoad(ENGINE, LOAD))),
        new LinkMessage.Loads(Optional.empty(), 0, Optional.empty(), List.of()),
        new LinkMessage.Releases(List.of(new LinkMessage.Release(ADAPTER, 4))),
        new LinkMessage.LoadRejected(ADAPTER, 400));
  }

  static Stream<LinkMessage> roomMessages() {
    return Stream.of(
        new RoomMessage.DemandReport(
            List.of(new RoomMessage.FlowDemand(SERVICE, FLOW, true, 40, 12, 20)),
            List.of(new RoomMessage.InFlight(SERVICE, 8))),
        new RoomMessage.Shortages(
            List.of(
                new RoomMessage.Shortage(
                    SERVICE,
                    Room.ENGINE_TIME,
                    3,
                    900,
                    List.of(new RoomMessage.FlowShare(FLOW, 0.25))))),
        new RoomMessage.SpeedReport(
            List.of(new RoomMessage.SpeedSamples(ENGINE, 1_000, 7, 3_500, 2_800))),
        new RoomMessage.Speeds(
            false, List.of(new RoomMessage.EndpointSpeed(ENGINE, 1_000, 1.75, 2.5))),
        new RoomMessage.PromptRequest(
            7,
            Optional.of(ADAPTER),
            FLOW,
            500,
            800,
            List.of(new RoomMessage.PromptOption(ENGINE, 9_190))),
        new RoomMessage.PromptTurn(7, ENGINE, 12),
        new RoomMessage.PromptSent(8, new RoomMessage.PromptOption(ENGINE, 9_190)),
        new RoomMessage.PromptRead(7),
        new RoomMessage.LoadWithdrawn(ADAPTER, 12),
        new RoomMessage.SpillShares(
            List.of(new RoomMessage.SlotUse(SERVICE, 70, Map.of(new DataCentreId("south"), 64))),
            List.of(new RoomMessage.SpillShare(SERVICE, new DataCentreId("east"), 0.25))));
  }

  @ParameterizedTest
  @MethodSource({"messages", "roomMessages"})
  void messageIsDecodedFromItsFrame(LinkMessage message) throws LinkFrames.FormatException {
    assertThat(LinkFrames.decode(LinkFrames.encode(message))).isEqualTo(message);
  }

  @ParameterizedTest
  @MethodSource({"messages", "roomMessages"})
  void truncatedFrameIsRejected(LinkMessage message) {
    byte[] frame = LinkFrames.encode(message);

    assertThatThrownBy(() -> LinkFrames.decode(Arrays.copyOf(frame, frame.length - 1)))
        .isInstanceOf(LinkFrames.FormatException.class);
  }

  @Test
  void unknownTypeIsRejected() {
    assertThatThrownBy(() -> LinkFrames.decode(new byte[] {99}))
        .isInstanceOf(LinkFrames.FormatException.class);
  }
}
