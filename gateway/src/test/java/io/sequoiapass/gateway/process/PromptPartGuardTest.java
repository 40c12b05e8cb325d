package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.request.Generation;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PromptPartGuardTest {

  private static final ServiceId SERVICE = new ServiceId("notes");
  private static final DataCentreId NORTH = new DataCentreId("north");
  private static final int FLOOD = 20_000;

  private final List<LinkMessage> sent = new ArrayList<>();
  private final PromptPartGuard guard =
      new PromptPartGuard(this::now, DecisionLog.silent(), new GatewayMetrics());
  private boolean isCoordinated = true;
  private long now = 1;

  PromptPartGuardTest() {
    guard.reportTo(sent::add, () -> isCoordinated);
  }

  private long now() {
    return now;
  }

  private static Generation prompt(String... parts) {
    return new Generation(
        new ModelId("m"),
        Optional.empty(),
        100,
        20,
        List.of(parts).stream().map(id -> new Generation.PromptPart(id, 10)).toList());
  }

  private void crash(int number, Generation generation) {
    now += 1_000;
    guard
        .suspect(SERVICE, generation)
        .ifPresent(one -> guard.crashed(new EndpointId("e" + number), List.of(one)));
  }

  private void convict(String part) {
    guard.update(
        NORTH,
        new LinkMessage.PartVerdicts(
            false, List.of(), List.of(PartKey.of(SERVICE, part)), List.of()));
  }

  @Nested
  class PartThatIsConvicted {

    @Test
    void isRefusedInAnyPlaceButTheLast() {
      convict("bad");

      assertThat(guard.isRefused(SERVICE, prompt("first", "bad", "own"))).isTrue();
      assertThat(guard.isRefused(SERVICE, prompt("bad", "own"))).isTrue();
      assertThat(guard.isRefused(SERVICE, prompt("first", "bad"))).isFalse();
      assertThat(guard.isRefused(new ServiceId("other"), prompt("bad", "own"))).isFalse();
    }

    @Test
    void isServedAgainOnceAnAnswerIsWrittenOnIt() {
      convict("bad");
      guard.written(SERVICE, prompt("bad", "own"));

      assertThat(guard.isRefused(SERVICE, prompt("bad", "own"))).isFalse();
      assertThat(sent)
          .containsExactly(new LinkMessage.PartsCleared(List.of(PartKey.of(SERVICE, "bad"))));
    }

    /** Guards against a flood of fresh parts that evicts a verdict. */
    @Test
    void staysRefusedAfterAFloodOfOthers() {
      convict("bad");
      for (int i = 0; i < FLOOD; i++) {
        guard.written(SERVICE, prompt("fresh" + i, "own"));
      }

      assertThat(guard.isRefused(SERVICE, prompt("bad", "own"))).isTrue();
    }
  }

  @Nested
  class DaemonWithoutACoordinator {

    @Test
    void decidesByTheCrashesThatItHasSeen() {
      isCoordinated = false;
      for (int i = 0; i < 3; i++) {
        crash(i, prompt("first", "bad", "own" + i));
      }
      guard.written(SERVICE, prompt("first", "own"));
      now += 1_000;

      assertThat(guard.isRefused(SERVICE, prompt("first", "bad", "other"))).isTrue();
      assertThat(guard.isRefused(SERVICE, prompt("first", "other"))).isFalse();
    }
  }

  @Nested
  class OneRequestThatIsRepeated {

    @Test
    void convictsNoneOfItsParts() {
      isCoordinated = false;
      for (int i = 0; i < 10; i++) {
        crash(i, prompt("first", "session", "own"));
      }
      now += 1_000;

      assertThat(guard.isRefused(SERVICE, prompt("first", "session", "own"))).isFalse();
    }
  }
}
