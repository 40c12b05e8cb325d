package io.sequoiapass.daemon.process.command;

import io.sequoiapass.daemon.process.explain.LossReport;
import io.sequoiapass.daemon.process.explain.RequestReport;
import io.sequoiapass.daemon.process.settings.SettingsException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** Reports late and failed requests from daemons' decision logs. */
final class ExplainCommand {

  /** Enough for all daemons of one deployment, with one file each. */
  private static final int MAX_FILES = 1_000;

  private ExplainCommand() {}

  static ExitCode run(Invocation invocation) throws CommandException, SettingsException {
    List<String> files = invocation.words(1, MAX_FILES, Command.EXPLAIN.usage());
    Optional<String> request = invocation.text(CommandFlag.REQUEST);
    if (request.isPresent()) {
      return explain(request.get(), files, invocation);
    }
    LossReport report = new LossReport();
    for (String file : files) {
      read(file, report::read);
    }
    if (report.lines() == 0) {
      throw new CommandException(
          ExitCode.FAILED, "no decision log entry in " + String.join(", ", files));
    }
    report.print(invocation.out());
    return ExitCode.OK;
  }

  private static ExitCode explain(String id, List<String> files, Invocation invocation)
      throws CommandException {
    RequestReport report = new RequestReport(id);
    for (String file : files) {
      read(file, report::read);
    }
    if (report.isEmpty()) {
      throw new CommandException(
          ExitCode.FAILED, "no decision on request " + id + " in " + String.join(", ", files));
    }
    report.print(invocation.out());
    return ExitCode.OK;
  }

  private static void read(String file, Consumer<String> reader) throws CommandException {
    // A line truncated by a crash may end within a character, which would be malformed UTF-8.
    try (Stream<String> lines = Files.lines(Path.of(file), StandardCharsets.ISO_8859_1)) {
      lines.forEach(reader);
    } catch (IOException e) {
      throw new CommandException(ExitCode.FAILED, "cannot read " + file + ": " + e.getMessage());
    }
  }
}
