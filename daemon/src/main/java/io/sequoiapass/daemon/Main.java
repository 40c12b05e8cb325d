package io.sequoiapass.daemon;

import io.sequoiapass.daemon.process.EntryDaemon;
import io.sequoiapass.daemon.process.log.EventLog;
import io.sequoiapass.daemon.process.settings.EntrySettings;
import io.sequoiapass.daemon.process.settings.SettingsException;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;

/** Starts the command that the first argument names. */
public final class Main {

  private static final int FAILED = 1;
  private static final int WRONG_USAGE = 2;

  private Main() {}

  /**
   * Runs one command.
   *
   * @param arguments the command's name and its flags
   * @throws InterruptedException if the process is told to stop
   */
  public static void main(String[] arguments) throws InterruptedException {
    List<String> flags = Arrays.asList(arguments);
    if (flags.isEmpty() || !flags.get(0).equals("entry")) {
      System.err.println("usage: sequoiapass entry [flags]");
      System.exit(WRONG_USAGE);
    }
    System.exit(entry(flags.subList(1, flags.size())));
  }

  private static int entry(List<String> flags) throws InterruptedException {
    if (flags.contains("--help")) {
      System.out.print(EntrySettings.help());
      return 0;
    }
    try {
      EntrySettings settings = EntrySettings.parse(flags, System.getenv());
      EventLog.configure(settings.logFormat());
      EntryDaemon.start(settings).awaitStop();
      return 0;
    } catch (SettingsException e) {
      System.err.println(e.getMessage());
      return WRONG_USAGE;
    } catch (IOException e) {
      System.err.println(e.getMessage());
      return FAILED;
    }
  }
}
