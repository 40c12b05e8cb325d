package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.connection.RoomMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PromptGateTest {

  private static final DataCentreId NORTH = new DataCentreId("north");
  private static final EndpointId ENGINE = new EndpointId("engine-1");

  private final List<LinkMessage> sent = new ArrayList<>();
  private final List<String> replies = new ArrayList<>();
  private final PromptGate gate = new PromptGate(new GatewayMetrics());
  private boolean connected = true;

  private final PromptGate.Listener request =
      new PromptGate.Listener() {
        @Override
        public void given(EndpointId endpoint, long delayMs) {
          replies.add("given " + endpoint + " " + delayMs);
        }

        @Override
        public void lost() {
          replies.add("lost");
        }
      };

  @BeforeEach
  void connect() {
    gate.use((dataCentre, message) -> connected && sent.add(message), Runnable::run);
  }

  private OptionalLong ask() {
    return gate.ask(
        NORTH,
        Optional.empty(),
        PlanFixtures.FLOW,
        500,
        800,
        List.of(new RoomMessage.PromptOption(ENGINE, 9_190)),
        request);
  }

  @Test
  void turnReachesTheRequest() {
    long id = ask().orElseThrow();

    gate.receive(NORTH, new RoomMessage.PromptTurn(id, ENGINE, 12), 0);

    assertThat(replies).containsExactly("given engine-1 12");
  }

  @Test
  void shortPromptNeedsNoTurn() {
    assertThat(gate.needsTurn(9_000, 9_000, 40, 600)).isTrue();
    assertThat(gate.needsTurn(1_600, 1_600, 40, 600)).isFalse();
  }

  @Test
  void cachedPromptNeedsNoTurn() {
    assertThat(gate.needsTurn(1_600, 9_000, 40, 600)).isFalse();
  }

  @Test
  void nothingNeedsATurnIfTwoUsualPromptsAreTooLong() {
    assertThat(gate.needsTurn(9_600, 9_600, 40, 400)).isFalse();
    assertThat(gate.needsTurn(4_000, 9_600, 40, 400)).isFalse();
    assertThat(gate.needsTurn(9_600, 9_600, 40, 600)).isTrue();
  }

  /** Guards against turns that are asked for as long as prompts happen to be cached. */
  @Test
  void cachedPartsDoNotMakePromptsShort() {
    for (int i = 0; i < 100; i++) {
      gate.needsTurn(3_000, 9_600, 40, 400);
    }

    assertThat(gate.needsTurn(4_000, 9_600, 40, 400)).isFalse();
  }

  @Nested
  class Failure {

    @Test
    void withoutACoordinatorNothingIsAsked() {
      connected = false;

      assertThat(ask()).isEmpty();
    }

    @Test
    void lostCoordinatorEndsTheWait() {
      long id = ask().orElseThrow();

      gate.lost(new DataCentreId("south"), 0);
      assertThat(replies).isEmpty();
      gate.lost(NORTH, 0);
      gate.receive(NORTH, new RoomMessage.PromptTurn(id, ENGINE, 0), 0);

      assertThat(replies).containsExactly("lost");
    }

    @Test
    void turnForARequestThatHasEndedIsGivenBack() {
      long id = ask().orElseThrow();
      gate.read(NORTH, id);
      sent.clear();

      gate.receive(NORTH, new RoomMessage.PromptTurn(id, ENGINE, 0), 0);

      assertThat(replies).isEmpty();
      assertThat(sent).containsExactly(new RoomMessage.PromptRead(id));
    }
  }
}
