package io.sequoiapass.coordination.request;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sequoiapass.coordination.WorkspaceId;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class FlowTest {

  private static final Optional<WorkspaceId> YARDS = Optional.of(new WorkspaceId("yards"));

  @Test
  void priorityOutOfRangeCountsAsTheNearest() {
    assertThat(Flow.of(-3, YARDS).priority()).isEqualTo(Flow.FIRST_PRIORITY);
    assertThat(Flow.of(Integer.MAX_VALUE, YARDS).priority()).isEqualTo(Flow.LAST_PRIORITY);
    assertThatThrownBy(() -> new Flow(10, YARDS)).isInstanceOf(IllegalArgumentException.class);
  }

  @Test
  void mostUrgentOfTwoIsKept() {
    Flow first = Flow.of(0, Optional.empty());
    Flow second = Flow.of(1, YARDS);

    assertThat(second.mostUrgent(first)).isEqualTo(first);
    assertThat(first.mostUrgent(second)).isEqualTo(first);
    assertThat(first.mostUrgent(Flow.of(0, YARDS))).isEqualTo(first);
  }
}
