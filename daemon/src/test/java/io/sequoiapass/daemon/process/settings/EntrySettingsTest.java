package io.sequoiapass.daemon.process.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.daemon.process.Page;
import io.sequoiapass.daemon.process.log.LogFormat;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class EntrySettingsTest {

  private static final List<String> REQUIRED =
      List.of(
          "--id", "entry-1", "--data-centre", "north", "--host", "h1", "--platform", "127.0.0.1:1");

  private static EntrySettings parse(String... more) throws SettingsException {
    List<String> arguments = new ArrayList<>(REQUIRED);
    int given = arguments.indexOf(more.length == 0 ? "" : more[0]);
    if (given >= 0) {
      arguments.subList(given, given + 2).clear();
    }
    arguments.addAll(List.of(more));
    return EntrySettings.parse(arguments, Map.of());
  }

  @Nested
  class Values {

    @Test
    void absentSettingsGetTheirDefaults() throws SettingsException {
      EntrySettings settings = parse();

      assertThat(settings.daemon()).isEqualTo(new DaemonId("entry-1"));
      assertThat(settings.leaseDurationMs()).isEqualTo(3_000);
      assertThat(settings.listenAddress()).isEqualTo("127.0.0.1");
      assertThat(settings.peers()).isEmpty();
      assertThat(settings.logFormat()).isEqualTo(LogFormat.TEXT);
    }

    @Test
    void flagTakesPrecedenceOverVariable() throws SettingsException {
      Map<String, String> environment =
          Map.of("SEQUOIAPASS_CALLER_PORT", "1000", "SEQUOIAPASS_PEER_PORT", "1001");
      List<String> arguments = new ArrayList<>(REQUIRED);
      arguments.addAll(List.of("--caller-port", "2000"));

      EntrySettings settings = EntrySettings.parse(arguments, environment);

      assertThat(settings.callerPort()).isEqualTo(2_000);
      assertThat(settings.peerPort()).isEqualTo(1_001);
    }

    @Test
    void peersCarryDataCentreAndAddress() throws SettingsException {
      assertThat(parse("--peers", "e2@north=127.0.0.1:9, e3@south=[::1]:10").peers())
          .containsExactly(
              new PeerAddress(
                  new DaemonId("e2"),
                  new DataCentreId("north"),
                  Addresses.parse("--peers", "127.0.0.1:9")),
              new PeerAddress(
                  new DaemonId("e3"),
                  new DataCentreId("south"),
                  Addresses.parse("--peers", "[::1]:10")));
    }

    // A limit such as 100 ms is below the grace period of 2.5 s, in which the daemon still accepts
    // requests until the load balancer has seen that readiness is off. It must be rejected with a
    // message; otherwise the daemon fails to start with a stack trace.
    @Test
    void drainLimitBelowTheGraceIsRejected() {
      assertThatThrownBy(() -> parse("--drain-limit-ms", "2499"))
          .isInstanceOf(SettingsException.class)
          .hasMessageContaining("2500 to 3600000 ms");
    }

    @ParameterizedTest
    @EnumSource(Setting.class)
    void everyDefaultIsAllowed(Setting setting) throws SettingsException {
      if (setting.defaultValue() != null) {
        setting.check(setting.defaultValue());
      }
      assertThat(setting.reason()).isNotBlank();
    }
  }

  @Nested
  class Rejections {

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = {
          "--id|a b|visible ASCII",
          "--data-centre|a@b|visible ASCII",
          "--caller-port|65536|0 to 65535",
          "--caller-port|x|0 to 65535",
          "--platform|example.org:80|IP address or localhost",
          "--platform|1.2.3.256:80|IP address or localhost",
          "--platform|127.0.0.1:0|a port 1 to 65535",
          "--platform|127.0.0.1|a port 1 to 65535",
          "--listen-address|hostname|0.0.0.0 for all",
          "--peers|e2=127.0.0.1:9|id@dataCentre=host:port",
          "--peers|e2@n=127.0.0.1:9,e2@n=127.0.0.1:8|each id once",
          "--peers|entry-1@n=127.0.0.1:9|other than --id entry-1",
          "--log-format|xml|text or json",
          "--lease-duration-ms|499|500 to 60000 ms",
          "--lease-margin-ms|1500|10 to 1499 ms at --lease-duration-ms 3000",
          "--heartbeat-interval-ms|1001|50 to 1000 ms at --lease-duration-ms 3000",
          "--retry-budget-percent|101|0 to 100 %",
        })
    void invalidValueIsReportedWithSettingValueAndWhatIsAllowed(
        String flag, String value, String allowed) {
      assertThatThrownBy(() -> parse(flag, value))
          .isInstanceOf(SettingsException.class)
          .hasMessageContaining(flag + " (SEQUOIAPASS_")
          .hasMessageContaining("'" + value.replaceFirst(".*,", "") + "'")
          .hasMessageContaining(allowed);
    }

    @Test
    void invalidVariableIsRejectedLikeAFlag() {
      assertThatThrownBy(() -> EntrySettings.parse(REQUIRED, Map.of("SEQUOIAPASS_THREADS", "0")))
          .hasMessage("--threads (SEQUOIAPASS_THREADS): '0' is wrong; allowed: 1 to 256 threads");
    }

    @Test
    void missingSettingIsReported() {
      assertThatThrownBy(() -> EntrySettings.parse(REQUIRED.subList(2, 8), Map.of()))
          .hasMessageStartingWith("--id (SEQUOIAPASS_ID): not given; allowed: ");
    }

    @Test
    void repeatedSettingIsRejected() {
      assertThatThrownBy(() -> parse("--threads", "2", "--threads", "3"))
          .hasMessage("--threads (SEQUOIAPASS_THREADS): '2 3' is wrong; allowed: one value");
    }

    @Test
    void unknownFlagAndStrayArgumentAreRejected() {
      assertThatThrownBy(() -> parse("--caller-prt", "1")).isInstanceOf(SettingsException.class);
      assertThatThrownBy(() -> parse("word")).hasMessage("not a flag: 'word'");
    }
  }

  @Nested
  class Documentation {

    @Test
    void pageListsEverySetting() throws IOException {
      StringBuilder page = new StringBuilder("# Settings of the entry daemon\n\n");
      page.append("Each setting has a flag and an environment variable; the flag wins. A wrong");
      page.append(
          " value names the\nsetting, the value and what is allowed, and the process exits");
      page.append(" with 2. This page is generated from the\ncode and checked by a test; see");
      page.append(" [CONTRIBUTING](../CONTRIBUTING.md).\n");
      for (Setting setting : Setting.values()) {
        String defaultValue = setting.defaultValue();
        page.append("\n## `").append(setting.flag()).append("`\n\n");
        page.append("- variable: `").append(setting.variable()).append("`\n");
        page.append("- meaning: ").append(setting.meaning()).append('\n');
        page.append("- default: ");
        page.append(defaultValue == null ? "none, required" : "`" + defaultValue + "`")
            .append('\n');
        page.append("- allowed: ").append(setting.allowed()).append('\n');
        page.append("- reason: ").append(setting.reason()).append('\n');
      }
      Page.assertIs("SETTINGS.md", page.toString());
    }
  }
}
