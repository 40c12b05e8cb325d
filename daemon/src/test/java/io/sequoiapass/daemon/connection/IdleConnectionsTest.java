package io.sequoiapass.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class IdleConnectionsTest {

  private static final long UNSTATED = -1;

  private final Set<String> ended = new HashSet<>();
  private final List<String> closed = new ArrayList<>();
  private final IdleConnections<String> idle =
      new IdleConnections<>(connection -> !ended.contains(connection), closed::add);

  private Optional<String> take(ReusePolicy policy, long now) {
    return idle.take(policy, connection -> true, now).connection();
  }

  @Test
  void takesTheMostRecentlyUsed() {
    idle.add("old", UNSTATED, 0);
    idle.add("new", UNSTATED, 10);

    assertThat(take(ReusePolicy.ANY, 20)).contains("new");
  }

  @Test
  void servesRepeatableCallsForSeconds() {
    idle.add("a", UNSTATED, 0);

    assertThat(take(ReusePolicy.ANY, 9_000)).contains("a");
  }

  @Test
  void closesAfterTheLimit() {
    idle.add("a", UNSTATED, 0);

    assertThat(take(ReusePolicy.ANY, 11_000)).isEmpty();
    assertThat(closed).containsExactly("a");
  }

  /** Guards against needless new connections while requests are sent again. */
  @Nested
  class CallThatSuitsNotAll {

    @Test
    void usesTheNextOlderOne() {
      idle.add("a", UNSTATED, 0);
      idle.add("b", UNSTATED, 1);

      assertThat(idle.take(ReusePolicy.ANY, "a"::equals, 2).connection()).contains("a");
    }

    @Test
    void leavesTheOthersToOtherCalls() {
      idle.add("a", UNSTATED, 0);

      assertThat(idle.take(ReusePolicy.ANY, connection -> false, 1))
          .isEqualTo(new IdleConnections.Taken<>(Optional.empty(), true));
      assertThat(closed).isEmpty();
      assertThat(take(ReusePolicy.ANY, 2)).contains("a");
    }
  }

  /** A request sent while the server closes the connection may be lost, or may have run. */
  @Nested
  class CallThatMustNotRunTwice {

    @Test
    void usesNoOldConnection() {
      idle.add("a", UNSTATED, 0);

      assertThat(take(ReusePolicy.RECENT, 500)).isEmpty();
      assertThat(idle.has(ReusePolicy.RECENT, 500)).isFalse();
    }

    /** One such call would close what other calls use, and each of them would open another. */
    @Test
    void leavesOtherConnectionsToRepeatableCalls() {
      idle.add("a", UNSTATED, 0);
      idle.add("b", UNSTATED, 1);

      take(ReusePolicy.RECENT, 500);

      assertThat(take(ReusePolicy.ANY, 600)).contains("b");
    }

    /** Servers reset connections beyond a number, and with them requests that may have run. */
    @Test
    void replacesOneSoThatTheNumberDoesNotGrow() {
      idle.add("a", UNSTATED, 0);
      idle.add("b", UNSTATED, 1);

      take(ReusePolicy.RECENT, 500);

      assertThat(closed).containsExactly("a");
    }
  }

  /** A probe that uses up connections would make the next calls open new ones. */
  @Test
  void keepsConnectionsFromProbes() {
    idle.add("a", UNSTATED, 0);

    assertThat(take(ReusePolicy.NONE, 1)).isEmpty();
    assertThat(closed).isEmpty();
  }

  @Test
  void ignoresConnectionsThatHaveEnded() {
    idle.add("a", UNSTATED, 0);
    ended.add("a");

    assertThat(idle.has(ReusePolicy.ANY, 1)).isFalse();
    assertThat(take(ReusePolicy.ANY, 1)).isEmpty();
  }

  @Test
  void boundsTheNumber() {
    for (int i = 0; i < 1_000; i++) {
      idle.add("c" + i, UNSTATED, i);
    }

    assertThat(closed).hasSize(1_000 - 32).contains("c0").doesNotContain("c999");
  }
}
