package io.sequoiapass.daemon.process.command;

import io.sequoiapass.daemon.process.log.EventLog;
import io.sequoiapass.daemon.process.log.LogFormat;
import io.sequoiapass.daemon.process.settings.EntrySettings;
import io.sequoiapass.daemon.process.settings.SettingsException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Commands of the program.
 *
 * <pre>{@code
 * System.exit(Command.dispatch(arguments));
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
public enum Command {
  /** Runs the entry daemon. */
  ENTRY("", "run one entry daemon until it is stopped") {
    @Override
    ExitCode execute(Invocation invocation) {
      throw new AssertionError("ENTRY overrides run() and does not use Invocation");
    }

    @Override
    public String help() {
      return EntrySettings.help();
    }

    @Override
    public int run(
        List<String> arguments, Map<String, String> environment, PrintStream out, PrintStream err) {
      return isHelpRequested(arguments)
          ? printHelp(out)
          : EntryCommand.run(arguments, environment, err).code();
    }
  },
  /** Runs a daemon with the settings and protocols of a {@code Deployment}. */
  SERVE(
      "[--metrics-port PORT]",
      "run one daemon with the host's settings until it is stopped",
      CommandFlag.METRICS_PORT) {
    @Override
    ExitCode execute(Invocation invocation) throws CommandException, SettingsException {
      return ServeCommand.run(invocation);
    }
  },
  /** Applies a configuration file. */
  APPLY(
      "-f FILE [--dry-run] --platform HOST:PORT",
      "check a configuration file, show the change and write it",
      CommandFlag.FILE,
      CommandFlag.DRY_RUN,
      CommandFlag.IN_MS,
      CommandFlag.PLATFORM,
      CommandFlag.TIMEOUT_MS) {
    @Override
    ExitCode execute(Invocation invocation) throws CommandException, SettingsException {
      return ApplyCommand.run(invocation);
    }
  },
  /** Shows objects of the platform. */
  SHOW(
      "KIND [NAME] [--json] --platform HOST:PORT",
      "show adapters, services, endpoints, the preset, leases or ownership",
      CommandFlag.JSON,
      CommandFlag.PLATFORM,
      CommandFlag.TIMEOUT_MS) {
    @Override
    ExitCode execute(Invocation invocation) throws CommandException, SettingsException {
      return ShowCommand.run(invocation);
    }
  },
  /** Activates a preset. */
  PRESET(
      "NAME [--in-ms N] --platform HOST:PORT",
      "activate preset ORDINARY, PEAK or MAINTENANCE",
      CommandFlag.IN_MS,
      CommandFlag.PLATFORM,
      CommandFlag.TIMEOUT_MS) {
    @Override
    ExitCode execute(Invocation invocation) throws CommandException, SettingsException {
      return PresetCommand.run(invocation);
    }
  },
  /** Drains an endpoint or a daemon. */
  DRAIN(
      "endpoint NAME [--undo] --platform HOST:PORT | daemon NAME --operators HOST:PORT,...",
      "give an endpoint no new work, or stop a daemon without cutting off a request",
      CommandFlag.UNDO,
      CommandFlag.PLATFORM,
      CommandFlag.OPERATORS,
      CommandFlag.TIMEOUT_MS) {
    @Override
    ExitCode execute(Invocation invocation) throws CommandException, SettingsException {
      return DrainCommand.run(invocation);
    }
  },
  /** Shows the state of daemons. */
  STATUS(
      "[--json] --operators HOST:PORT,...",
      "show the state of daemons",
      CommandFlag.JSON,
      CommandFlag.OPERATORS,
      CommandFlag.TIMEOUT_MS) {
    @Override
    ExitCode execute(Invocation invocation) throws CommandException, SettingsException {
      return StatusCommand.run(invocation);
    }
  },
  /** Merges the timelines of daemons. */
  TIMELINE(
      "[filters] [--json] --operators HOST:PORT,...",
      "merge the timelines of daemons into one",
      CommandFlag.SINCE,
      CommandFlag.UNTIL,
      CommandFlag.REQUEST,
      CommandFlag.ADAPTER,
      CommandFlag.ENDPOINT,
      CommandFlag.KIND,
      CommandFlag.LIMIT,
      CommandFlag.JSON,
      CommandFlag.OPERATORS,
      CommandFlag.TIMEOUT_MS) {
    @Override
    ExitCode execute(Invocation invocation) throws CommandException, SettingsException {
      return TimelineCommand.run(invocation);
    }
  },
  /** Reports late and failed requests from decision logs. */
  EXPLAIN(
      "FILE... [--request ID]",
      "report from daemons' decision logs which requests were late or failed, and why",
      CommandFlag.REQUEST) {
    @Override
    ExitCode execute(Invocation invocation) throws CommandException, SettingsException {
      return ExplainCommand.run(invocation);
    }
  };

  private static final String PROGRAM = "sequoiapass ";

  private final String usage;
  private final String summary;

  // The field holds an unmodifiable set; the checker sees only the declared type Set.
  @SuppressWarnings("ImmutableEnumChecker")
  private final Set<CommandFlag> flags;

  Command(String usage, String summary, CommandFlag... flags) {
    this.usage = usage;
    this.summary = summary;
    this.flags = Collections.unmodifiableSet(new TreeSet<>(Arrays.asList(flags)));
  }

  abstract ExitCode execute(Invocation invocation) throws CommandException, SettingsException;

  /**
   * Runs the command named by the first argument, with the process's environment and output
   * streams.
   *
   * @param arguments the name of the command, followed by its arguments
   * @return the exit code
   */
  public static int dispatch(String[] arguments) {
    EventLog.configure(LogFormat.TEXT);
    return dispatch(Arrays.asList(arguments), System.getenv(), System.out, System.err);
  }

  static int dispatch(
      List<String> arguments, Map<String, String> environment, PrintStream out, PrintStream err) {
    if (arguments.isEmpty()) {
      err.print(overview());
      return ExitCode.USAGE.code();
    }
    String name = arguments.get(0);
    if (name.equals("--help") || name.equals("-h") || name.equals("help")) {
      out.print(overview());
      return ExitCode.OK.code();
    }
    for (Command command : values()) {
      if (command.word().equals(name)) {
        return command.run(arguments.subList(1, arguments.size()), environment, out, err);
      }
    }
    err.println(PROGRAM + "has no command '" + name + "'");
    err.print(overview());
    return ExitCode.USAGE.code();
  }

  /**
   * Runs the command.
   *
   * @param arguments the arguments without the command's name
   * @param environment the environment variables
   * @param out the stream for results
   * @param err the stream for error messages
   * @return the exit code
   */
  public int run(
      List<String> arguments, Map<String, String> environment, PrintStream out, PrintStream err) {
    if (isHelpRequested(arguments)) {
      return printHelp(out);
    }
    try {
      return execute(Invocation.parse(flags, arguments, environment, out, err)).code();
    } catch (SettingsException e) {
      err.println(PROGRAM + word() + ": " + e.getMessage());
      err.println("see " + PROGRAM + word() + " --help");
      return ExitCode.USAGE.code();
    } catch (CommandException e) {
      err.println(PROGRAM + word() + ": " + e.getMessage());
      return e.exitCode().code();
    }
  }

  /** Returns the help text. */
  public String help() {
    StringBuilder text = new StringBuilder();
    text.append("usage: ").append(usage()).append("\n\n");
    text.append("Purpose: ").append(summary).append(".\n\n");
    flags.forEach(flag -> text.append(flag.help()));
    text.append("\nExit codes:\n");
    for (ExitCode code : ExitCode.values()) {
      text.append("  ").append(code.code()).append("  ").append(code.meaning()).append('\n');
    }
    return text.toString();
  }

  static String overview() {
    StringBuilder text = new StringBuilder("usage: sequoiapass COMMAND [arguments]\n\n");
    for (Command command : values()) {
      text.append(String.format(Locale.ROOT, "  %-9s %s%n", command.word(), command.summary));
    }
    return text.append("\nRun sequoiapass COMMAND --help for details.\n").toString();
  }

  String word() {
    return name().toLowerCase(Locale.ROOT);
  }

  String usage() {
    return PROGRAM + word() + " " + usage;
  }

  static boolean isHelpRequested(List<String> arguments) {
    return arguments.contains("--help") || arguments.contains("-h");
  }

  int printHelp(PrintStream out) {
    out.print(help());
    return ExitCode.OK.code();
  }
}
