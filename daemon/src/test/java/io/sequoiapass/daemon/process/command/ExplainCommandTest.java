package io.sequoiapass.daemon.process.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ExplainCommandTest {

  @TempDir Path folder;

  private String file(String name, String text) throws IOException {
    return Files.writeString(folder.resolve(name), text).toString();
  }

  @Test
  void severalFilesAreCombined() throws IOException {
    String first =
        file(
            "north.log",
            "{\"event\":\"ended\",\"request\":\"r1\",\"outcome\":\"refused_OVERLOADED\"}\n");
    String second =
        file(
            "south.log",
            "{\"event\":\"ended\",\"request\":\"r2\",\"outcome\":\"refused_OVERLOADED\"}\n");

    CommandRun run = CommandRun.of(Map.of(), "explain", first, second);

    assertThat(run.code()).isZero();
    assertThat(run.out()).contains("2 requests").contains("refused: OVERLOADED");
  }

  @Test
  void oneRequestIsReportedAlone() throws IOException {
    String log =
        file(
            "north.log",
            """
            {"event":"ended","request":"r1","outcome":"refused_OVERLOADED"}
            {"event":"ended","request":"r11","outcome":"answered"}
            """);

    assertThat(CommandRun.of(Map.of(), "explain", log, "--request", "r1").out())
        .contains("r1: refused: OVERLOADED")
        .doesNotContain("r11");
    assertThat(CommandRun.of(Map.of(), "explain", log, "--request", "r2").err())
        .contains("no decision on request r2");
  }

  @Test
  void unreadableFileIsReported() {
    CommandRun run = CommandRun.of(Map.of(), "explain", folder.resolve("none.log").toString());

    assertThat(run.code()).isEqualTo(1);
    assertThat(run.err()).contains("cannot read").contains("none.log");
  }

  @Test
  void fileWithoutDecisionsIsAnError() throws IOException {
    CommandRun run = CommandRun.of(Map.of(), "explain", file("empty.log", "hello\n"));

    assertThat(run.code()).isEqualTo(1);
    assertThat(run.err()).contains("no decision log entry in");
  }
}
