package io.sequoiapass.daemon.process.command;

import io.sequoiapass.daemon.process.settings.Addresses;
import io.sequoiapass.daemon.process.settings.SettingsException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Parsed command line of one command, with its environment and output streams.
 *
 * <p>Not safe for use by several threads.
 */
final class Invocation {

  private final CommandLine line;
  private final Map<String, String> environment;
  private final PrintStream out;
  private final PrintStream err;

  private Invocation(
      CommandLine line, Map<String, String> environment, PrintStream out, PrintStream err) {
    this.line = line;
    this.environment = environment;
    this.out = out;
    this.err = err;
  }

  static Invocation parse(
      Set<CommandFlag> flags,
      List<String> arguments,
      Map<String, String> environment,
      PrintStream out,
      PrintStream err)
      throws SettingsException {
    Options options = new Options();
    for (CommandFlag flag : flags) {
      options.addOption(
          Option.builder(flag.shortOption())
              .longOpt(flag.option())
              .hasArg(flag.takesArgument())
              .get());
    }
    try {
      CommandLine line =
          DefaultParser.builder()
              .setAllowPartialMatching(false)
              .get()
              .parse(options, arguments.toArray(new String[0]));
      rejectRepeated(flags, line);
      return new Invocation(line, environment, out, err);
    } catch (ParseException e) {
      throw SettingsException.unreadable(e.getMessage());
    }
  }

  /** Rejects a flag that is given more than once, since it is unclear which value applies. */
  private static void rejectRepeated(Set<CommandFlag> flags, CommandLine line)
      throws SettingsException {
    for (CommandFlag flag : flags) {
      String[] given = line.getOptionValues(flag.option());
      if (given != null && given.length > 1) {
        throw SettingsException.wrongValue(flag.names(), String.join(" ", given), "one value");
      }
    }
  }

  Map<String, String> environment() {
    return environment;
  }

  PrintStream out() {
    return out;
  }

  PrintStream err() {
    return err;
  }

  /**
   * Returns the positional arguments.
   *
   * @throws SettingsException if their number is not in the range
   */
  List<String> words(int minimum, int maximum, String usage) throws SettingsException {
    List<String> words = line.getArgList();
    if (words.size() < minimum || words.size() > maximum) {
      throw SettingsException.unreadable(
          "wrong number of arguments: " + words + "; usage: " + usage);
    }
    return words;
  }

  boolean has(CommandFlag flag) {
    return line.hasOption(flag.option());
  }

  Optional<String> text(CommandFlag flag) {
    String given = line.getOptionValue(flag.option());
    if (given == null && flag.inEnvironment()) {
      given = environment.get(flag.variable());
    }
    return Optional.ofNullable(given == null ? flag.defaultValue() : given);
  }

  String required(CommandFlag flag, String allowed) throws SettingsException {
    Optional<String> text = text(flag);
    if (text.isEmpty() || text.get().isBlank()) {
      throw SettingsException.missing(flag.names(), allowed);
    }
    return text.get();
  }

  long number(CommandFlag flag, long minimum, long maximum) throws SettingsException {
    String allowed = minimum + " to " + maximum;
    String text = required(flag, allowed);
    long number;
    try {
      number = Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw SettingsException.wrongValue(flag.names(), text, allowed);
    }
    if (number < minimum || number > maximum) {
      throw SettingsException.wrongValue(flag.names(), text, allowed);
    }
    return number;
  }

  long timeoutMs() throws SettingsException {
    return number(
        CommandFlag.TIMEOUT_MS, CommandFlag.TIMEOUT_MINIMUM_MS, CommandFlag.TIMEOUT_MAXIMUM_MS);
  }

  InetSocketAddress platform() throws SettingsException {
    String text = required(CommandFlag.PLATFORM, Addresses.ALLOWED);
    return Addresses.parse(CommandFlag.PLATFORM.names(), text);
  }

  List<InetSocketAddress> operators() throws SettingsException {
    String text = required(CommandFlag.OPERATORS, Addresses.ALLOWED + "; several with commas");
    return Addresses.parseList(CommandFlag.OPERATORS.names(), text);
  }
}
