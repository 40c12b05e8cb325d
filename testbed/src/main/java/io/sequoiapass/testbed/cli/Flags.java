package io.sequoiapass.testbed.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Parsed flags of a command, each with a default value.
 *
 * <pre>{@code
 * Flags flags = Flags.define()
 *     .flag("port", "0", "port to listen on, 0 for any free one")
 *     .parse(arguments);
 * int port = flags.integer("port", 0, 65_535);
 * }</pre>
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public final class Flags {

  private final CommandLine line;
  private final Map<String, String> defaults;

  private Flags(CommandLine line, Map<String, String> defaults) {
    this.line = line;
    this.defaults = defaults;
  }

  /** Returns an empty definition. */
  public static Definition define() {
    return new Definition();
  }

  /**
   * Returns a flag's value.
   *
   * @param name the flag's name
   */
  public String text(String name) {
    return line.getOptionValue(name, defaults.get(name));
  }

  /**
   * Returns a flag's value as an integer.
   *
   * @param name the flag's name
   * @param min the smallest value allowed
   * @param max the largest value allowed
   * @throws UsageException if the value is not a number or is out of range
   */
  public int integer(String name, int min, int max) throws UsageException {
    double value = decimal(name, min, max);
    if (value != Math.rint(value)) {
      throw new UsageException("--" + name + " must be a whole number: " + text(name));
    }
    return (int) value;
  }

  /**
   * Returns a flag's value as a list of integers that are separated by commas.
   *
   * @param name the flag's name
   * @param min the smallest value allowed
   * @param max the largest value allowed
   * @throws UsageException if a value is not an integer or is out of range
   */
  public List<Integer> integers(String name, int min, int max) throws UsageException {
    List<Integer> values = new ArrayList<>();
    for (String text : text(name).split(",", -1)) {
      if (!text.matches("[0-9]{1,9}") || Integer.parseInt(text) < min) {
        throw new UsageException("--" + name + " must be whole numbers >= " + min + ": " + text);
      }
      if (Integer.parseInt(text) > max) {
        throw new UsageException("--" + name + " must be at most " + max + ": " + text);
      }
      values.add(Integer.parseInt(text));
    }
    return values;
  }

  /**
   * Returns a flag's value as a number.
   *
   * @param name the flag's name
   * @param min the smallest value allowed
   * @param max the largest value allowed
   * @throws UsageException if the value is not a number or is out of range
   */
  public double decimal(String name, double min, double max) throws UsageException {
    String text = text(name);
    double value;
    try {
      value = Double.parseDouble(text);
    } catch (NumberFormatException e) {
      throw new UsageException("--" + name + " must be a number: " + text);
    }
    if (!(value >= min && value <= max)) {
      throw new UsageException("--" + name + " must be " + min + " to " + max + ": " + text);
    }
    return value;
  }

  /**
   * Returns a flag's value as true or false.
   *
   * @param name the flag's name
   * @throws UsageException if the value is neither
   */
  public boolean bool(String name) throws UsageException {
    String text = text(name);
    if (!text.equals("true") && !text.equals("false")) {
      throw new UsageException("--" + name + " must be true or false: " + text);
    }
    return text.equals("true");
  }

  /** Definition of the flags of a command. Not safe for use by several threads. */
  public static final class Definition {

    private final Options options = new Options();
    private final Map<String, String> defaults = new LinkedHashMap<>();

    private Definition() {}

    /**
     * Adds a flag with one value.
     *
     * @param name the flag's name, without dashes
     * @param fallback default value
     * @param description text for the help
     */
    public Definition flag(String name, String fallback, String description) {
      options.addOption(Option.builder().longOpt(name).hasArg().desc(description).get());
      defaults.put(name, fallback);
      return this;
    }

    /**
     * Parses the arguments.
     *
     * @param arguments the command's arguments
     * @throws UsageException if a flag is unknown or lacks its value, or if there are other
     *     arguments
     */
    public Flags parse(String... arguments) throws UsageException {
      CommandLine line;
      try {
        line = new DefaultParser(false).parse(options, arguments);
      } catch (ParseException e) {
        throw new UsageException(e.getMessage() + "\n" + help());
      }
      if (!line.getArgList().isEmpty()) {
        throw new UsageException("unexpected arguments: " + line.getArgList() + "\n" + help());
      }
      return new Flags(line, Map.copyOf(defaults));
    }

    /** Returns the help text, with a line for each flag. */
    public String help() {
      StringBuilder help = new StringBuilder();
      for (Map.Entry<String, String> flag : defaults.entrySet()) {
        String description = options.getOption(flag.getKey()).getDescription();
        help.append(String.format("  --%-22s %s", flag.getKey(), description));
        help.append(" (default '").append(flag.getValue()).append("')\n");
      }
      return help.toString();
    }
  }
}
