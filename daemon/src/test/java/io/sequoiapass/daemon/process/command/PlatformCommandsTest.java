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
    void oneOrAllObjectsOfAKind() {
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
    void comesIntoForceAheadOfNow() {
      long before = System.currentTimeMillis();

      assertThat(run("preset", "PEAK", "--in-ms", "60000").code()).isZero();

      String value = platform.value("preset/current");
      assertThat(value).startsWith("{\"preset\":\"PEAK\",\"effective_at\":");
      long at = Long.parseLong(value.replaceAll("[^0-9]", ""));
      assertThat(at).isBetween(before + 60_000, System.currentTimeMillis() + 60_000);
      assertThat(run("preset", "PEAK").out()).isEqualTo("preset PEAK is chosen already\n");
    }

    /**
     * Two operators choose a preset at the same moment. The second one is told that another came
     * first and what is chosen; had his command won silently, each would believe in his own.
     */
    @Test
    void racingOperatorIsTold() {
      platform.next(Fault.OVERTAKEN);

      CommandRun run = run("preset", "PEAK");

      assertThat(run.code()).isEqualTo(3);
      assertThat(run.err()).contains("another change came first").contains("somebody-else");
    }
  }

  @Nested
  class DrainEndpoint {

    /**
     * An operator drains an endpoint while another change moves it to a new host. Writing the value
     * read before over that change would undo it, so the object is read again.
     */
    @Test
    void keepsARacingChangeOfOtherMembers() {
      platform.hold("endpoint", "engine-1", "{\"host\":\"h1\",\"state\":\"ACTIVE\"}");
      platform.next(Fault.OVERTAKEN);

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
