package io.sequoiapass.daemon.process.command;

import io.sequoiapass.daemon.process.EntryDaemon;
import io.sequoiapass.daemon.process.log.EventLog;
import io.sequoiapass.daemon.process.settings.EntrySettings;
import io.sequoiapass.daemon.process.settings.SettingsException;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;

/** Parses the settings of the entry daemon and runs it. */
final class EntryCommand {

  private EntryCommand() {}

  static ExitCode run(List<String> arguments, Map<String, String> environment, PrintStream err) {
    try {
      EntrySettings settings = EntrySettings.parse(arguments, environment);
      EventLog.configure(settings.logFormat());
      return start(settings, err);
    } catch (SettingsException e) {
      err.println("sequoiapass entry: " + e.getMessage());
      err.println("see sequoiapass entry --help");
      return ExitCode.USAGE;
    }
  }

  private static ExitCode start(EntrySettings settings, PrintStream err) {
    try {
      EntryDaemon daemon = EntryDaemon.start(settings);
      Runtime.getRuntime().addShutdownHook(new Thread(() -> stopOnSignal(daemon), "stop"));
      daemon.awaitStop();
      return ExitCode.OK;
    } catch (IOException e) {
      err.println("sequoiapass entry: " + e.getMessage());
      return ExitCode.FAILED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.FAILED;
    }
  }

  /**
   * Drains the daemon when the host's init system stops it by a signal; the virtual machine exits
   * when this method returns.
   */
  private static void stopOnSignal(EntryDaemon daemon) {
    try {
      daemon.drain();
      daemon.awaitStop();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
