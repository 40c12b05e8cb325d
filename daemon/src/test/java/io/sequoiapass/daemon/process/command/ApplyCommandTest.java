package io.sequoiapass.daemon.process.command;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.daemon.process.command.FakePlatform.Fault;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ApplyCommandTest {

  private static final String ENGINE =
      "{\"address\":\"127.0.0.1:9\",\"data_centre\":\"north\",\"host\":\"h1\",\"type\":\"ENGINE\","
          + "\"model\":\"base-a\",\"slots\":4,\"max_streams\":16,\"checks_fence\":true";

  private static final String FILE =
      """
      { // the yards
        "adapters": {
          "notes": {"model": "base-a", "current": "v7", "versions": ["v6", "v7"]},
          "slips": {"model": "base-a", "current": "v1", "versions": ["v1"]}
        },
        "services": {
          "intake": {"adapters": ["notes", "slips"], "repeatable": false,
                     "priority": "DEADLINE", "max_in_flight": 20}
        },
        "endpoints": {"engine-1": %s}},
        "preset": "PEAK"
      }
      """
          .formatted(ENGINE);

  @TempDir Path directory;
  private FakePlatform platform;

  @BeforeEach
  void start() throws IOException {
    platform = new FakePlatform();
  }

  @AfterEach
  void stop() {
    platform.close();
  }

  private CommandRun apply(String text, String... more) throws IOException {
    Path file = directory.resolve("file.json");
    Files.writeString(file, text);
    String[] arguments = new String[more.length + 3];
    arguments[0] = "apply";
    arguments[1] = "-f";
    arguments[2] = file.toString();
    System.arraycopy(more, 0, arguments, 3, more.length);
    return CommandRun.of(Map.of("SEQUOIAPASS_PLATFORM", platform.address()), arguments);
  }

  @Nested
  class ValidFile {

    @Test
    void isWrittenCompletelyAndASecondRunWritesNothing() throws IOException {
      assertThat(apply(FILE).out()).endsWith("5 changes written\n");
      assertThat(platform.keys())
          .containsExactly(
              "adapter/notes",
              "adapter/slips",
              "endpoint/engine-1",
              "preset/current",
              "service/intake");
      assertThat(platform.value("endpoint/engine-1")).isEqualTo(ENGINE + ",\"state\":\"ACTIVE\"}");

      assertThat(apply(FILE).out()).isEqualTo("the platform matches the file; nothing to change\n");
    }

    @Test
    void dryRunShowsTheChangeAndWritesNothing() throws IOException {
      platform.hold(
          "adapter", "notes", "{\"model\":\"base-a\",\"current\":\"v6\",\"versions\":[\"v6\"]}");

      CommandRun run = apply(FILE, "--dry-run");

      assertThat(run.code()).isZero();
      assertThat(run.out())
          .contains(
              "~ adapter notes: current \"v6\" -> \"v7\", versions [\"v6\"] -> [\"v6\",\"v7\"]")
          .contains("+ service intake {")
          .endsWith("dry run: 5 changes not written\n");
      assertThat(platform.operations()).isEmpty();
    }

    @Test
    void leavingEndpointKeepsItsState() throws IOException {
      platform.hold("endpoint", "engine-1", ENGINE + ",\"state\":\"LEAVING\"}");

      assertThat(apply("{\"endpoints\":{\"engine-1\":" + ENGINE + "}}}").out())
          .startsWith("the platform matches the file");
    }

    @Test
    void removalsAreRefusedWhileReferencedAndOrderedByReference() throws IOException {
      apply(FILE);

      CommandRun refused = apply("{\"remove\":{\"adapters\":[\"slips\"]}}");
      CommandRun run = apply("{\"remove\":{\"adapters\":[\"slips\"],\"services\":[\"intake\"]}}");

      assertThat(refused.code()).isEqualTo(2);
      assertThat(refused.err()).contains("'slips' is still referred to by service 'intake'");
      assertThat(run.out()).startsWith("- service intake\n- adapter slips\n");
      assertThat(platform.keys()).doesNotContain("adapter/slips", "service/intake");
    }
  }

  @Nested
  class Documentation {

    @Test
    void exampleInTheDocumentationIsValid() throws Exception {
      String example =
          Files.readString(Path.of("..", "docs", "CONFIGURATION-FILE.md"))
              .lines()
              .filter(line -> line.startsWith("    "))
              .takeWhile(line -> !line.startsWith("    line "))
              .collect(Collectors.joining("\n"));

      ConfigurationFile file = ConfigurationFile.parse(example);

      assertThat(file.objects()).hasSize(5);
      assertThat(file.removals()).hasSize(1);
    }
  }

  @Nested
  class InvalidFile {

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        quoteCharacter = '`',
        value = {
          "\"current\": \"v7\"|\"current\": \"v9\"|line 3|$.adapters.notes.current: 'v9' is wrong",
          "\"slots\":4|\"slots\":0|line 10|$.endpoints.engine-1.slots: 0 is wrong; allowed: a whole"
              + " number, 1 to 1024",
          "\"slots\":4|\"solts\":4|line 10|'solts' is unknown; allowed: address",
          "\"repeatable\": false|\"repeatable\": \"no\"|line 7|'no' is wrong; allowed: true or false",
          "\"slips\": {|\"notes\": {|line 4|'notes' is given twice",
          "\"PEAK\"|\"PEEK\"|line 11|$.preset: 'PEEK' is wrong; allowed: [ORDINARY, PEAK",
          "127.0.0.1:9|127.0.0.1|line 10|address: '127.0.0.1' is wrong; allowed: IP address",
          "[\"notes\", \"slips\"]|[\"notes\", \"bills\"]|line 7|adapters names 'bills'",
          "\"preset\"|\"presets\"|line 11|'presets' is unknown",
          "\"PEAK\"|\"PEAK|line 13|invalid JSON",
        })
    void isRejectedWithPositionValueAndWhatIsAllowed(
        String good, String bad, String line, String problem) throws IOException {
      assertThat(FILE).contains(good);

      CommandRun run = apply(FILE.replace(good, bad));

      assertThat(run.code()).isEqualTo(2);
      assertThat(run.err()).contains(line + " ").contains(problem);
      assertThat(platform.operations()).isEmpty();
    }

    @Test
    void allProblemsAreReportedTogether() throws IOException {
      CommandRun run = apply(FILE.replace("\"v7\"]", "7]").replace("PEAK", "PEEK"));

      assertThat(run.err()).contains("7 is wrong").contains("'PEEK' is wrong");
    }
  }

  /**
   * The platform loses answers, limits the rate, or applies another operator's change first. The
   * command must not report a change as refused that took effect, or as written that did not: both
   * would mislead an operator during an incident.
   */
  @Nested
  class Faults {

    @Test
    void ownChangeIsRecognisedAfterALostAnswer() throws IOException {
      platform.injectFaults(Fault.NONE, Fault.ANSWER_LOST);

      CommandRun run = apply(FILE);

      assertThat(run.code()).as(run.err()).isZero();
      assertThat(platform.operations()).hasSize(6);
      assertThat(platform.operations().get(1)).isEqualTo(platform.operations().get(2));
      assertThat(platform.revision()).isEqualTo(5);
    }

    @Test
    void removalIsRecognisedAfterALostAnswer() throws IOException {
      apply(FILE);
      platform.injectFaults(Fault.ANSWER_LOST);

      assertThat(apply("{\"remove\":{\"endpoints\":[\"engine-1\"]}}").code()).isZero();
    }

    @Test
    void lostRequestAndRateLimitAreRetried() throws IOException {
      platform.injectFaults(Fault.REQUEST_LOST, Fault.RATE_EXCEEDED);

      assertThat(apply(FILE).code()).isZero();
      assertThat(platform.revision()).isEqualTo(5);
    }

    @Test
    void conflictReportsWhatWasWrittenAndASecondRunCompletes() throws IOException {
      platform.injectFaults(Fault.NONE, Fault.OVERTAKEN);

      CommandRun run = apply(FILE);

      assertThat(run.code()).isEqualTo(3);
      assertThat(run.err())
          .contains("adapter slips: another change came first: it is at version 2 by operation")
          .contains("written: adapter notes\nfailed: adapter slips\nnot written: service intake\n");
      assertThat(platform.value("adapter/slips")).isEqualTo("{\"host\":\"moved\"}");
      assertThat(apply(FILE).out()).endsWith("4 changes written\n");
    }

    @Test
    void changeOverwrittenAfterALostAnswerIsReportedAsPossiblyApplied() throws IOException {
      platform.injectFaults(Fault.LOST_AND_OVERTAKEN);

      CommandRun run = apply(FILE);

      assertThat(run.code()).isEqualTo(3);
      assertThat(run.err()).contains("this change may have been in effect before that");
    }

    @Test
    void lossOfEveryAnswerIsReportedAsUnknownOutcome() throws IOException {
      platform.injectFaults(
          Fault.REQUEST_LOST,
          Fault.REQUEST_LOST,
          Fault.REQUEST_LOST,
          Fault.REQUEST_LOST,
          Fault.REQUEST_LOST);

      CommandRun run = apply(FILE);

      assertThat(run.code()).isEqualTo(4);
      assertThat(run.err())
          .contains("it may have taken effect")
          .contains("safe to run the command");
    }

    @Test
    void unreachablePlatformExitsWithFour() throws IOException {
      CommandRun run = apply(FILE, "--platform", "127.0.0.1:1");

      assertThat(run.code()).isEqualTo(4);
      assertThat(run.err()).contains("cannot connect");
    }
  }
}
