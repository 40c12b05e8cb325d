package io.sequoiapass.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.connection.RoomMessage;
import io.sequoiapass.gateway.process.Choice;
import io.sequoiapass.gateway.process.Demand;
import io.sequoiapass.gateway.process.EndpointTicket;
import io.sequoiapass.gateway.process.PromptFixtures;
import io.sequoiapass.gateway.version.RequestKind;
import io.sequoiapass.gateway.version.RouteSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A prompt that is read in 200 ms, on a route with a target of 1,000 ms and gaps of 600 ms. */
class PromptWaitTest {

  private static final int TOKENS = 8_000;
  private static final long READ_MS = 200;
  private static final long TARGET_MS = 1_000;
  private static final long GAP_MS = 600;
  private static final long ARRIVED_AT = 100;
  private static final long NOW = 150;

  private static final RouteSpec ROUTE =
      new RouteSpec(
          "notes",
          "notes",
          "/",
          RequestKind.STREAMING,
          20_000,
          TARGET_MS,
          GAP_MS,
          1,
          List.of(new RouteSpec.Target(new ServiceId("notes"), 1)),
          2,
          true,
          5_000,
          false);

  private final PromptFixtures fixtures = new PromptFixtures();
  private final List<Long> dispatched = new ArrayList<>();
  private final Demand demand = PromptFixtures.demand(TOKENS);
  private final Choice.Send choice = fixtures.choose(demand);
  private final PromptWait wait =
      new PromptWait(
          fixtures.gate(),
          fixtures.group(),
          ROUTE,
          new RequestOrigin(
              ARRIVED_AT, 20_000, 0, OptionalLong.empty(), Optional.empty(), ErrorFormat.CALLER),
          dispatched::add);

  private Optional<Choice.Send> turn(long now) {
    return wait.turn(choice, demand, now);
  }

  private EndpointTicket send(long now) {
    EndpointId engine = choice.candidate().endpoint();
    EndpointTicket ticket = fixtures.group().begin(engine, demand, now).orElseThrow();
    wait.sent(ticket, choice.candidate(), demand);
    return ticket;
  }

  @Test
  void asksForATurnInWhichItCanBeInTime() {
    assertThat(turn(NOW)).isEmpty();

    RoomMessage.PromptRequest asked = (RoomMessage.PromptRequest) fixtures.takeSent().get(0);
    assertThat(asked.inTimeMs()).isEqualTo(ARRIVED_AT + TARGET_MS - READ_MS - NOW);
  }

  @Test
  void isSentToTheEngineOfItsTurn() {
    turn(NOW);
    fixtures.give(1, new EndpointId("e2"));

    assertThat(dispatched).containsExactly(0L);
    assertThat(turn(200).orElseThrow().candidate().endpoint().value()).isEqualTo("e2");
  }

  @Nested
  class Failure {

    @Test
    void lostCoordinatorEndsTheWait() {
      turn(NOW);
      fixtures.lose();

      assertThat(dispatched).containsExactly(0L);
      assertThat(turn(200)).contains(choice);
      send(200).begun(400);
    }

    @Test
    void promptThatIsSentWithoutATurnIsReportedUntilItIsRead() {
      turn(NOW);
      fixtures.takeSent();
      long later = NOW + 2 * TARGET_MS;

      assertThat(turn(later)).contains(choice);
      EndpointTicket ticket = send(later);
      LinkMessage waitEnds = new RoomMessage.PromptRead(1);
      RoomMessage.PromptOption engine =
          new RoomMessage.PromptOption(choice.candidate().endpoint(), TOKENS);
      assertThat(fixtures.takeSent())
          .containsExactly(waitEnds, new RoomMessage.PromptSent(2, engine));
      ticket.begun(later + READ_MS);
      assertThat(fixtures.takeSent()).containsExactly(new RoomMessage.PromptRead(2));
    }

    @Test
    void turnThatArrivesAfterTheEndIsGivenBack() {
      turn(NOW);
      wait.end();
      fixtures.takeSent();
      fixtures.give(1, new EndpointId("e1"));

      assertThat(fixtures.takeSent()).containsExactly(new RoomMessage.PromptRead(1));
    }
  }
}
