package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.WorkspaceId;
import io.sequoiapass.coordination.request.Flow;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class WorkspaceBoundsTest {

  private static Flow flow(int priority, String workspace) {
    return Flow.of(priority, Optional.of(new WorkspaceId(workspace)));
  }

  /** Guards against urgent requests that wait for less urgent ones of workspaces of like size. */
  @Test
  void leaveWorkspacesOfLikeSizeAlone() {
    Map<Flow, Double> asked = Map.of(flow(0, "a"), 20.0, flow(2, "b"), 10.0, flow(2, "c"), 10.0);

    assertThat(WorkspaceBounds.within(asked, 20)).containsExactlyInAnyOrderEntriesOf(asked);
  }

  @Test
  void leaveFlowsOfSeveralWorkspacesAlone() {
    Flow several = Flow.of(0, Optional.empty());
    Map<Flow, Double> asked = Map.of(several, 90.0, flow(2, "b"), 10.0);

    assertThat(WorkspaceBounds.within(asked, 50)).containsExactlyInAnyOrderEntriesOf(asked);
  }
}
