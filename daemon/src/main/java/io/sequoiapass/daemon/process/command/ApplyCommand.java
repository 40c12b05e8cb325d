package io.sequoiapass.daemon.process.command;

import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.OperationId;
import io.sequoiapass.daemon.process.settings.SettingsException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.UUID;

/**
 * Applies a configuration file to the platform.
 *
 * <p>The complete file is validated, then checked against the platform, before the first write.
 * Each write is conditional on the version that was compared. A repeated run writes only what is
 * missing.
 */
final class ApplyCommand {

  /** Ample for a file with the 27,000 adapters of the largest expected installation. */
  private static final long MAX_FILE_BYTES = 64L << 20;

  private ApplyCommand() {}

  static ExitCode run(Invocation invocation) throws CommandException, SettingsException {
    invocation.words(0, 0, Command.APPLY.usage());
    String name = invocation.required(CommandFlag.FILE, "a file that can be read");
    long delayMs = invocation.number(CommandFlag.IN_MS, 0, CommandFlag.DELAY_MAXIMUM_MS);
    var platformAddress = invocation.platform();
    String text = read(name);
    try (CommandClient client = new CommandClient(invocation.timeoutMs())) {
      ConfigurationFile file = ConfigurationFile.parse(text);
      PlatformSession platform = new PlatformSession(client, platformAddress);
      long presetAtMs = MillisClock.wall().millis() + delayMs;
      List<Change> changes = new ChangePlan(file, platform).changes(presetAtMs);
      changes.forEach(change -> invocation.out().println(change.description()));
      return finish(invocation, platform, changes);
    } catch (FileProblem e) {
      throw new CommandException(
          ExitCode.USAGE, name + " is wrong, nothing was changed:\n" + e.getMessage());
    }
  }

  private static String read(String name) throws SettingsException {
    try {
      Path path = Path.of(name);
      if (Files.size(path) > MAX_FILE_BYTES) {
        throw SettingsException.wrongValue(
            CommandFlag.FILE.names(), name, "at most " + MAX_FILE_BYTES + " bytes");
      }
      return Files.readString(path, StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw SettingsException.wrongValue(
          CommandFlag.FILE.names(), name, "a file that can be read (" + e + ")");
    }
  }

  private static ExitCode finish(
      Invocation invocation, PlatformSession platform, List<Change> changes)
      throws CommandException {
    PrintStream out = invocation.out();
    if (changes.isEmpty()) {
      out.println("the platform matches the file; nothing to change");
    } else if (invocation.has(CommandFlag.DRY_RUN)) {
      out.println("dry run: " + changes.size() + " changes not written");
    } else {
      write(platform, changes);
      out.println(changes.size() + " changes written");
    }
    return ExitCode.OK;
  }

  private static void write(PlatformSession platform, List<Change> changes)
      throws CommandException {
    String run = "apply-" + UUID.randomUUID() + "-";
    for (int i = 0; i < changes.size(); i++) {
      try {
        write(platform, changes.get(i), new OperationId(run + i));
      } catch (CommandException e) {
        throw new CommandException(e.exitCode(), partialResult(changes, i, e.getMessage()));
      }
    }
  }

  private static void write(PlatformSession platform, Change change, OperationId operation)
      throws CommandException {
    if (change.after().isPresent()) {
      platform.put(change.kind(), change.name(), change.after().get(), change.version(), operation);
    } else {
      platform.delete(change.kind(), change.name(), change.version(), operation);
    }
  }

  /** Returns a message that lists the writes before and after a failed one. */
  private static String partialResult(List<Change> changes, int failed, String reason) {
    StringBuilder text = new StringBuilder();
    text.append(changes.get(failed).subject()).append(": ").append(reason).append('\n');
    changes
        .subList(0, failed)
        .forEach(c -> text.append("written: ").append(c.subject()).append('\n'));
    text.append("failed: ").append(changes.get(failed).subject()).append('\n');
    changes
        .subList(failed + 1, changes.size())
        .forEach(c -> text.append("not written: ").append(c.subject()).append('\n'));
    return text.append("it is safe to run the command again").toString();
  }
}
