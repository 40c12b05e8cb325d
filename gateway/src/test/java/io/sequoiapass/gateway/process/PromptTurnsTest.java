package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.process.ClockReading;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.connection.RoomMessage;
import io.sequoiapass.gateway.version.AdapterVersions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** One engine that takes two prompts of 9,000 tokens in a batch. */
class PromptTurnsTest {

  private static final EndpointId ENGINE = PlanFixtures.ENGINE;
  private static final double TOKENS_PER_MS = 40;

  private final List<String> given = new ArrayList<>();
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final EndpointDirectory directory =
      new EndpointDirectory(
          new DataCentreId("north"), new AdapterVersions(0), () -> 0, DecisionLog.silent());
  private final PlacementPlan plan =
      new PlacementPlan(
          new AdapterVersions(0), new ModelLoadLimiter(() -> 5_000, 1), new LoadTime(directory));
  private final PromptTurns turns =
      new PromptTurns(
          plan,
          new LoadQueue(plan, name -> false),
          any -> TOKENS_PER_MS,
          (daemon, turn) -> given.add(daemon.daemon + " " + turn.id()),
          () -> 0,
          DecisionLog.silent(),
          metrics);
  private final LinkedDaemon north = daemon("n1");
  private final LinkedDaemon south = daemon("s1");

  private static LinkedDaemon daemon(String id) {
    LinkedDaemon daemon = new LinkedDaemon(null);
    daemon.daemon = new DaemonId(id);
    return daemon;
  }

  private void ask(LinkedDaemon from, long id, int priority, long tokens) {
    RoomMessage.PromptOption option = new RoomMessage.PromptOption(ENGINE, tokens);
    turns.receive(
        from,
        new RoomMessage.PromptRequest(
            id, Optional.empty(), Flow.of(priority, Optional.empty()), 600, 1_000, List.of(option)),
        0);
  }

  private void report(LinkedDaemon from, long unreadTokens) {
    EndpointUsage usage = new EndpointUsage(ENGINE, new Load(1, unreadTokens, 0, 0), List.of());
    turns.receive(
        from,
        new LinkMessage.UsageReport(
            false, false, new ClockReading(0, 0), List.of(usage), List.of()),
        0);
  }

  @Test
  void reportedPromptOfATurnCountsOnce() {
    ask(north, 1, 0, 9_000);
    report(north, 9_000);
    ask(south, 1, 0, 9_000);

    assertThat(given).containsExactly("n1 1", "s1 1");
  }

  @Test
  void reportedPromptWithoutATurnCounts() {
    ask(north, 1, 0, 9_000);
    report(south, 9_000);
    ask(south, 1, 0, 9_000);

    assertThat(given).containsExactly("n1 1");
  }

  @Test
  void waitingRequestsAreAMetricByPriority() {
    ask(north, 1, 0, 90_000);
    ask(north, 2, 2, 9_000);
    turns.queue(Map.of(), 100);

    assertThat(metrics.text())
        .contains("sequoiapass_prompts_waiting{priority=\"2\"} 1.00")
        .contains("sequoiapass_prompt_turns_given_total 1");
  }

  /** Guards against turns that hold an engine for requests that do not use them. */
  @Nested
  class Failure {

    @BeforeEach
    void engineIsBusyWithAPromptOfNorth() {
      ask(north, 1, 0, 90_000);
      ask(south, 1, 0, 9_000);
      given.clear();
    }

    @Test
    void lostReportEndsTheTurnInTheEnd() {
      turns.queue(Map.of(), 60_000);

      assertThat(given).containsExactly("s1 1");
      assertThat(metrics.text()).contains("sequoiapass_prompt_turns_expired_total 1");
    }

    @Test
    void turnsOfALostDaemonEnd() {
      turns.unlinked(north, 10);

      assertThat(given).containsExactly("s1 1");
    }

    @Test
    void daemonThatIsLinkedAnewKeepsTheTurnsOfItsNewLink() {
      LinkedDaemon again = daemon("n1");
      turns.receive(north, new RoomMessage.PromptRead(1), 10);
      turns.receive(south, new RoomMessage.PromptRead(1), 20);
      ask(again, 1, 0, 90_000);
      ask(south, 2, 0, 9_000);
      given.clear();

      turns.unlinked(north, 30);
      assertThat(given).isEmpty();
      turns.unlinked(again, 40);
      assertThat(given).containsExactly("s1 2");
    }

    @Test
    void requestThatHasEndedGetsNoTurn() {
      turns.receive(south, new RoomMessage.PromptRead(1), 10);
      turns.receive(north, new RoomMessage.PromptRead(1), 20);

      assertThat(given).isEmpty();
    }

    @Test
    void nothingIsRecordedForALinkWithoutAnIntroduction() {
      turns.receive(north, new RoomMessage.PromptRead(1), 10);
      turns.receive(south, new RoomMessage.PromptRead(1), 20);
      given.clear();
      ask(new LinkedDaemon(null), 1, 0, 90_000);

      assertThat(given).isEmpty();
    }
  }
}
