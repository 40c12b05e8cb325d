package io.sequoiapass.coordination.version;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sequoiapass.coordination.ApiKey;
import io.sequoiapass.coordination.WorkspaceId;
import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class WorkspacesTest {

  private static Workspace workspace(String name, String... secrets) {
    Set<ApiKey> keys = Stream.of(secrets).map(ApiKey::of).collect(Collectors.toSet());
    return new Workspace(new WorkspaceId(name), keys, OptionalInt.empty(), UsageLimit.NONE);
  }

  @Test
  void eachKeyFindsItsWorkspace() {
    Workspaces workspaces =
        new Workspaces(List.of(workspace("a", "a1", "a2"), workspace("b", "b1")));

    assertThat(workspaces.find(ApiKey.of("a2")).orElseThrow().id().value()).isEqualTo("a");
    assertThat(workspaces.find(ApiKey.of("b1")).orElseThrow().id().value()).isEqualTo("b");
    assertThat(workspaces.find(ApiKey.of("c1"))).isEmpty();
  }

  /** Guards against requests that run for another workspace than the one that holds the key. */
  @Test
  void sharedKeyIsRejectedWithoutTheSecret() {
    assertThatThrownBy(
            () -> new Workspaces(List.of(workspace("a", "same"), workspace("b", "same"))))
        .isInstanceOf(IllegalArgumentException.class)
        .hasMessageContaining("a and b share key-")
        .hasMessageNotContaining("same");
  }

  /** Guards against a door that opens to everybody once the last workspace is removed. */
  @Test
  void emptyListStillRequiresKeys() {
    assertThat(new Workspaces(List.of()).areKeysRequired()).isTrue();
    assertThat(Workspaces.NONE.areKeysRequired()).isFalse();
  }

  @Test
  void nameThatOccursTwiceIsRejected() {
    assertThatThrownBy(() -> new Workspaces(List.of(workspace("a", "1"), workspace("a", "2"))))
        .isInstanceOf(IllegalArgumentException.class);
  }

  @Nested
  class Costs {

    @Test
    void tokensAreCountedOrTheDefaultCost() {
      UsageLimit limit = new UsageLimit(UsageLimit.Unit.TOKENS, 1_000, 500, 200);

      assertThat(limit.cost(OptionalLong.of(1_540))).isEqualTo(1_540);
      assertThat(limit.cost(OptionalLong.empty())).isEqualTo(200);
    }

    @Test
    void requestsCountAsOne() {
      UsageLimit limit = new UsageLimit(UsageLimit.Unit.REQUESTS, 10, 5, 200);

      assertThat(limit.cost(OptionalLong.of(1_540))).isEqualTo(1);
    }

    @Test
    void negativeRateIsRejected() {
      assertThatThrownBy(() -> new UsageLimit(UsageLimit.Unit.TOKENS, -1, 0, 0))
          .isInstanceOf(IllegalArgumentException.class);
    }
  }
}
