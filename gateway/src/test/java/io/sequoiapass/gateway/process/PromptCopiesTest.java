package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.connection.RoomMessage.PromptOption;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PromptCopiesTest {

  private static final PromptOption FIRST = new PromptOption(new EndpointId("e1"), 9_000);
  private static final PromptOption SECOND = new PromptOption(new EndpointId("e2"), 6_000);

  private static PromptSchedule.Request request(int adapter, PromptOption... options) {
    return new PromptSchedule.Request(
        Optional.of(PlanFixtures.adapter(adapter)), PlanFixtures.FLOW, 500, 800, List.of(options));
  }

  private static List<PromptSchedule.Request> requests(int count, PromptOption... options) {
    return IntStream.range(0, count).mapToObj(i -> request(1, options)).toList();
  }

  /** Guards against popular adapters whose prompts queue while other engines are idle. */
  @Nested
  class MorePromptsThanEngines {

    @Test
    void adapterNeedsAnotherCopy() {
      List<LoadNeed> needs = PromptCopies.needed(requests(3, FIRST, SECOND));

      assertThat(needs).hasSize(1);
      assertThat(needs.get(0).adapter()).isEqualTo(PlanFixtures.adapter(1));
      assertThat(needs.get(0).size().promptTokens()).isEqualTo(9_000);
    }
  }

  @Nested
  class EnoughEngines {

    @Test
    void adapterNeedsNoCopy() {
      assertThat(PromptCopies.needed(requests(2, FIRST, SECOND))).isEmpty();
    }

    @Test
    void adaptersThatShareAnEngineAreCountedApart() {
      List<PromptSchedule.Request> each =
          Stream.of(1, 2, 3).map(adapter -> request(adapter, FIRST)).toList();

      assertThat(PromptCopies.needed(each)).isEmpty();
    }
  }
}
