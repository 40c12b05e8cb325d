package io.sequoiapass.daemon.process.command;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.daemon.process.Page;
import java.io.IOException;
import java.util.Map;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.approvaltests.reporters.QuietReporter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class CommandTest {

  @Test
  void helpTextsAreApproved() {
    StringBuilder texts = new StringBuilder(Command.overview());
    for (Command command : Command.values()) {
      CommandRun run = CommandRun.of(Map.of(), command.word(), "--help");
      assertThat(run.code()).isZero();
      texts.append("\n---- ").append(command.word()).append("\n").append(run.out());
    }
    Approvals.verify(texts.toString(), new Options().withReporter(new QuietReporter()));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "show|KIND|things|adapter, service",
        "preset|NAME|QUIET|[ORDINARY, PEAK, MAINTENANCE]",
      })
  void invalidArgumentIsReportedWithWhatIsAllowed(
      String command, String name, String word, String allowed) {
    CommandRun run = CommandRun.of(Map.of(), command, word);

    assertThat(run.code()).isEqualTo(2);
    assertThat(run.err()).contains(name + ": '" + word + "' is wrong; allowed: " + allowed);
  }

  @Test
  void wrongUsageExitsWithTwo() {
    assertThat(CommandRun.of(Map.of()).code()).isEqualTo(2);
    assertThat(CommandRun.of(Map.of(), "aply").err()).contains("no command 'aply'");
    assertThat(CommandRun.of(Map.of(), "apply", "--force").code()).isEqualTo(2);
    assertThat(CommandRun.of(Map.of(), "show").code()).isEqualTo(2);
    assertThat(CommandRun.of(Map.of(), "entry", "--caller-port", "x").code()).isEqualTo(2);
  }

  @Test
  void settingIsReadFromTheEnvironment() {
    Map<String, String> environment = Map.of("SEQUOIAPASS_PLATFORM", "nowhere");

    assertThat(CommandRun.of(environment, "show", "adapter").err())
        .contains("--platform (SEQUOIAPASS_PLATFORM): 'nowhere' is wrong");
  }

  @ParameterizedTest
  @EnumSource(Command.class)
  void documentationContainsTheUsage(Command command) throws IOException {
    Page.assertHolds("COMMANDS.md", "## " + command.word());
    if (command != Command.ENTRY) {
      Page.assertHolds("COMMANDS.md", command.usage());
    }
  }

  @ParameterizedTest
  @EnumSource(ExitCode.class)
  void documentationContainsTheExitCode(ExitCode code) throws IOException {
    Page.assertHolds("COMMANDS.md", "| " + code.code() + " | " + code.meaning() + " |");
  }
}
