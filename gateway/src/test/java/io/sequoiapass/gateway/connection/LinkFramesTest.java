package io.sequoiapass.gateway.connection;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.gateway.process.Activity;
import io.sequoiapass.gateway.process.Load;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class LinkFramesTest {

  private static final AdapterName ADAPTER =
      new AdapterName(new ModelId("base"), new AdapterId("a7"));
  private static final EndpointId ENGINE = new EndpointId("engine-1");
  private static final Load LOAD = new Load(3, 9_190, 12_000, 700);

  static Stream<LinkMessage> messages() {
    return Stream.of(
        new LinkMessage.Hello(new DaemonId("north-1"), new DataCentreId("north")),
        new LinkMessage.Doing(
            List.of(new Activity(ENGINE, LOAD, List.of(new Activity.Use(ADAPTER, 2, 5))))),
        new LinkMessage.Need(ADAPTER, 3, true, 9_190, 52),
        new LinkMessage.Missed(ENGINE, ADAPTER, true),
        new LinkMessage.Standing(4, 512, 6, false),
        new LinkMessage.Placements(
            true, List.of(new LinkMessage.Placement(ENGINE, ADAPTER, 3, -1))),
        new LinkMessage.Loads(List.of(new LinkMessage.EndpointLoad(ENGINE, LOAD))),
        new LinkMessage.NoRoom(ADAPTER, 400));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void messageSurvivesItsFrame(LinkMessage message) throws LinkFrames.FormatException {
    assertThat(LinkFrames.decode(LinkFrames.encode(message))).isEqualTo(message);
  }

  @ParameterizedTest
  @MethodSource("messages")
  void shortFrameIsRefused(LinkMessage message) {
    byte[] frame = LinkFrames.encode(message);

    assertThatThrownBy(() -> LinkFrames.decode(Arrays.copyOf(frame, frame.length - 1)))
        .isInstanceOf(LinkFrames.FormatException.class);
  }

  @Test
  void unknownTypeIsRefused() {
    assertThatThrownBy(() -> LinkFrames.decode(new byte[] {99}))
        .isInstanceOf(LinkFrames.FormatException.class);
  }
}
