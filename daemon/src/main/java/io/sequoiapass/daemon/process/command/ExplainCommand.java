package io.sequoiapass.daemon.process.command;

import io.sequoiapass.daemon.process.explain.LossReport;
import io.sequoiapass.daemon.process.settings.SettingsException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** Says from daemons' decision lines where callers lost what. */
final class ExplainCommand {

  /** Daemons of one deployment, each with a file of its own. */
  private static final int MOST_FILES = 1_000;

  private ExplainCommand() {}

  static ExitCode run(Invocation invocation) throws CommandException, SettingsException {
    List<String> files = invocation.words(1, MOST_FILES, Command.EXPLAIN.usage());
    LossReport report = new LossReport();
    for (String file : files) {
      read(file, report);
    }
    if (report.lines() == 0) {
      throw new CommandException(
          ExitCode.FAILED, "no decision line in " + String.join(", ", files));
    }
    report.print(invocation.out());
    return ExitCode.OK;
  }

  private static void read(String file, LossReport report) throws CommandException {
    // A line that was cut by a crash may hold half a character.
    try (Stream<String> lines = Files.lines(Path.of(file), StandardCharsets.ISO_8859_1)) {
      lines.forEach(report::read);
    } catch (IOException e) {
      throw new CommandException(ExitCode.FAILED, "cannot read " + file + ": " + e.getMessage());
    }
  }
}
