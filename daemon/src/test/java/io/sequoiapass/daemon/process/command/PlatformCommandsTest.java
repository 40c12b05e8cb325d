package io.sequoiapass.daemon.process.command;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.daemon.process.command.FakePlatform.Fault;
import java.io.IOException;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PlatformCommandsTest {

  private FakePlatform platform;

  @BeforeEach
  void start() throws IOException {
    platform = new FakePlatform();
  }

  @AfterEach
  void stop() {
    platform.close();
  }

  private CommandRun run(String... arguments) {
    return CommandRun.of(Map.of("SEQUOIAPASS_PLATFORM", platform.address()), arguments);
  }

  @Nested
  class Show {

    @Test
    void printsOneOrAllObjectsOfAKind() {
      platform.hold("adapter", "notes", "{\"current\":\"v7\"}");
      platform.hold("adapter", "bills", "{\"current\":\"v1\"}");

      assertThat(run("show", "adapter").out())
          .isEqualTo(
              "adapter bills @2 {\"current\":\"v1\"}\nadapter notes @1 {\"current\":\"v7\"}\n");
      assertThat(run("show", "adapter", "notes", "--json").out()).contains("\"version\": 1");
      assertThat(run("show", "adapter", "none").code()).isEqualTo(1);
    }
  }

  @Nested
  class Preset {

    @Test
    void takesEffectAfterTheDelay() {
      long before = System.currentTimeMillis();

      assertThat(run("preset", "PEAK", "--in-ms", "60000").code()).isZero();

      String value = platform.value("preset/current");
      assertThat(value).startsWith("{\"preset\":\"PEAK\",\"effective_at\":");
      long at = Long.parseLong(value.replaceAll("[^0-9]", ""));
      assertThat(at).isBetween(before + 60_000, System.currentTimeMillis() + 60_000);
      assertThat(run("preset", "PEAK").out()).isEqualTo("preset PEAK is already selected\n");
    }

    /**
     * Two operators select a preset concurrently. The later command must report the conflict and
     * the selected preset; if it overwrote the first silently, each operator would assume his own.
     */
    @Test
    void concurrentSelectionIsReported() {
      platform.injectFaults(Fault.OVERTAKEN);

      CommandRun run = run("preset", "PEAK");

      assertThat(run.code()).isEqualTo(3);
      assertThat(run.err()).contains("another change came first").contains("somebody-else");
    }
  }

  @Nested
  class DrainEndpoint {

    /**
     * An endpoint is drained while a concurrent change moves it to a new host. Writing back the
     * value read earlier would undo that change, so the object must be read again.
     */
    @Test
    void keepsAConcurrentChangeOfOtherMembers() {
      platform.hold("endpoint", "engine-1", "{\"host\":\"h1\",\"state\":\"ACTIVE\"}");
      platform.injectFaults(Fault.OVERTAKEN);

      assertThat(run("drain", "endpoint", "engine-1").out())
          .isEqualTo("endpoint engine-1 is LEAVING\n");
      assertThat(platform.value("endpoint/engine-1"))
          .isEqualTo("{\"host\":\"moved\",\"state\":\"LEAVING\"}");
    }

    @Test
    void canBeUndone() {
      platform.hold("endpoint", "engine-1", "{\"state\":\"LEAVING\"}");

      assertThat(run("drain", "endpoint", "engine-1", "--undo").code()).isZero();
      assertThat(platform.value("endpoint/engine-1")).isEqualTo("{\"state\":\"ACTIVE\"}");
      assertThat(run("drain", "endpoint", "none").code()).isEqualTo(1);
    }
  }
}
