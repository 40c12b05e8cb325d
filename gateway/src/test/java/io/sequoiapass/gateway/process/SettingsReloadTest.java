package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.gateway.spi.HostSettings;
import io.sequoiapass.gateway.spi.SettingsException;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against changes of the settings that a running daemon ignores. */
class SettingsReloadTest {

  private static final InetSocketAddress ADDRESS = InetSocketAddress.createUnresolved("host", 1);

  private final ByteArrayOutputStream written = new ByteArrayOutputStream();
  private final DecisionLog log =
      DecisionLog.start("d1", () -> 0, new PrintStream(written, false, StandardCharsets.UTF_8));
  private final List<HostSettings> applied = new ArrayList<>();
  private Optional<HostSettings> file = Optional.of(settings(1, 8_000));
  private final SettingsReload reload =
      new SettingsReload(
          () -> file.orElseThrow(() -> new SettingsException("setting Ip is missing")));

  private static HostSettings settings(int cores, long graceMs) {
    return new HostSettings(
        new DaemonId("d1"),
        new DataCentreId("north"),
        Map.of(),
        ADDRESS,
        ADDRESS,
        ADDRESS,
        ADDRESS,
        ADDRESS,
        Optional.empty(),
        cores,
        new HostSettings.Bounds(
            graceMs,
            2_000,
            3_000,
            5_000,
            0.2,
            50,
            10_000,
            5_000,
            true,
            3_000,
            OptionalLong.empty(),
            8_000));
  }

  @BeforeEach
  void start() throws SettingsException {
    reload.first();
  }

  private String check(boolean requested) {
    written.reset();
    reload.check(requested, applied::add, log);
    log.flush();
    return written.toString(StandardCharsets.UTF_8);
  }

  @Nested
  class WithoutRequest {

    @Test
    void appliesAChange() {
      file = Optional.of(settings(1, 4_000));

      assertThat(check(false)).contains("\"applied\":\"grace\"", "\"needs_restart\":\"\"");
      assertThat(applied).containsExactly(settings(1, 4_000));
      assertThat(check(false)).isEmpty();
    }

    @Test
    void namesASettingThatNeedsARestart() {
      file = Optional.of(settings(2, 8_000));

      assertThat(check(false)).contains("\"needs_restart\":\"cores\"");
    }
  }

  @Nested
  class UnreadableSettings {

    @Test
    void areLoggedOnceAndChangeNothing() {
      file = Optional.empty();

      assertThat(check(false)).contains("reload_failed", "Ip is missing");
      assertThat(check(false)).isEmpty();
      assertThat(check(true)).contains("reload_failed");
      assertThat(applied).isEmpty();
    }

    @Test
    void areFollowedByReadableOnes() {
      file = Optional.empty();
      check(false);
      file = Optional.of(settings(1, 4_000));

      assertThat(check(false)).contains("\"applied\":\"grace\"");
    }
  }

  @Nested
  class Request {

    @Test
    void isLoggedThoughNothingHasChanged() {
      assertThat(check(true)).contains("\"event\":\"reloaded\"");
      assertThat(applied).isEmpty();
    }
  }
}
