package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.EndpointId;
import org.junit.jupiter.api.Test;

class EndpointHistoryTest {

  private static final EndpointId E1 = new EndpointId("e1");
  private static final boolean CHANGED = true;

  private final EndpointHistory history = new EndpointHistory();

  @Test
  void ordersEntriesAndRemovals() {
    history.put(E1, 7, CHANGED);
    assertThat(history.isOutdated(E1, 7)).isTrue();
    assertThat(history.isOutdated(E1, 8)).isFalse();

    history.remove(E1, 7);
    assertThat(history.isOutdated(E1, 7)).isTrue();
    assertThat(history.isOutdated(E1, 9)).isFalse();
  }

  /** Guards against links that send every entry again because engines write heartbeats. */
  @Test
  void heartbeatIsNoChange() {
    history.put(E1, 7, CHANGED);
    history.put(E1, 90, !CHANGED);

    assertThat(history.newest(E1)).isEqualTo(90);
    assertThat(history.isChangedSince(E1, 50)).isFalse();
    assertThat(history.isChangedSince(E1, 6)).isTrue();
  }

  /** Guards against an endpoint that a daemon keeps because its removal is not known here. */
  @Test
  void isCompleteFromItsFirstList() {
    assertThat(history.isCompleteSince(100)).isFalse();
    history.listed(50);
    assertThat(history.isCompleteSince(50)).isTrue();
    assertThat(history.isCompleteSince(49)).isFalse();

    history.listed(30);
    assertThat(history.isCompleteSince(30)).as("told by a daemon that lags").isFalse();
  }

  /** Guards against a removal that a daemon never learns of because it was forgotten. */
  @Test
  void isIncompleteOnceRemovalsAreForgotten() {
    history.listed(50);
    for (int i = 0; i <= 1_000; i++) {
      EndpointId endpoint = new EndpointId("gone-" + i);
      history.put(endpoint, 100 + i, CHANGED);
    }
    for (int i = 0; i <= 1_000; i++) {
      history.remove(new EndpointId("gone-" + i), 100 + i);
    }

    assertThat(history.isCompleteSince(500)).isFalse();
    assertThat(history.isCompleteSince(1_100)).as("known before the removals").isFalse();
    assertThat(history.isCompleteSince(1_101)).isTrue();
    assertThat(history.removals()).hasSize(1_000);

    history.listed(60);
    assertThat(history.isCompleteSince(500)).as("told by a daemon that lags").isFalse();
  }
}
