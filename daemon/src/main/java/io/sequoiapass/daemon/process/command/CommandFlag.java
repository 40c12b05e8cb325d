package io.sequoiapass.daemon.process.command;

import java.util.Locale;

/** Flags of the operators' commands. */
enum CommandFlag {
  PLATFORM("HOST:PORT", true, null, "address of the platform's object API"),
  OPERATORS("HOST:PORT,...", true, null, "operator addresses of the daemons"),
  TIMEOUT_MS("N", true, "2000", "timeout of one call: 100 to 60000 ms"),
  FILE("FILE", false, null, "the configuration file; -f for short"),
  DRY_RUN(null, false, null, "show the change and write nothing"),
  IN_MS("N", false, "2000", "the preset takes effect N ms from now: 0 to 600000 ms"),
  UNDO(null, false, null, "return the endpoint to service: ACTIVE instead of LEAVING"),
  JSON(null, false, null, "print JSON"),
  SINCE("MS", false, null, "only events from this time on, in ms since 1970 by this host's clock"),
  UNTIL("MS", false, null, "only events up to this time, in ms since 1970 by this host's clock"),
  REQUEST("ID", false, null, "only events of this request"),
  ADAPTER("NAME", false, null, "only events of this adapter, with or without @VERSION"),
  ENDPOINT("NAME", false, null, "only events of this endpoint"),
  KIND("KIND,...", false, null, "only events of these kinds"),
  LIMIT("N", false, "2000", "at most the newest N events of each daemon: 1 to 1000000"),
  METRICS_PORT("PORT", false, null, "serve metrics as text on this port: 1 to 65535");

  /** Bounds of {@link #TIMEOUT_MS}: shorter fails on a busy host, longer looks like a hang. */
  static final long TIMEOUT_MINIMUM_MS = 100;

  static final long TIMEOUT_MAXIMUM_MS = 60_000;

  /** Upper bound of {@link #IN_MS}: a change scheduled further ahead is easily forgotten. */
  static final long DELAY_MAXIMUM_MS = 600_000;

  private final String argument;
  private final boolean inEnvironment;
  private final String defaultValue;
  private final String meaning;

  CommandFlag(String argument, boolean inEnvironment, String defaultValue, String meaning) {
    this.argument = argument;
    this.inEnvironment = inEnvironment;
    this.defaultValue = defaultValue;
    this.meaning = meaning;
  }

  /** Returns the long flag without its leading dashes. */
  String option() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the short flag, or null. */
  String shortOption() {
    return this == FILE ? "f" : null;
  }

  /** Returns the flag and, if there is one, the environment variable, for error messages. */
  String names() {
    return "--" + option() + (inEnvironment ? " (" + variable() + ")" : "");
  }

  /** Returns the environment variable; only flags that apply to many calls have one. */
  String variable() {
    return "SEQUOIAPASS_" + name();
  }

  boolean inEnvironment() {
    return inEnvironment;
  }

  boolean takesArgument() {
    return argument != null;
  }

  String defaultValue() {
    return defaultValue;
  }

  String help() {
    String standard = defaultValue == null ? "" : "; default: " + defaultValue;
    String value = argument == null ? "" : " " + argument;
    String variable = inEnvironment ? " (" + variable() + ")" : "";
    return "  --" + option() + value + variable + "\n      " + meaning + standard + "\n";
  }
}
