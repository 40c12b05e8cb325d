package io.sequoiapass.daemon.process.command;

/** Exit codes of all commands; a test compares docs/COMMANDS.md with this list. */
public enum ExitCode {
  /** The command succeeded. */
  OK(0, "done as asked"),
  /** A failure that no other code covers. */
  FAILED(1, "failed; the message says what was done and what was not"),
  /** Wrong usage, or an invalid setting or configuration file. */
  USAGE(2, "wrong usage, setting or configuration file; nothing was changed"),
  /** Refused because of a concurrent change, or by a daemon. */
  CONFLICT(3, "refused: another change came first, or a daemon refused; read again and decide"),
  /** The platform or a daemon does not answer. */
  UNREACHABLE(4, "the platform or a daemon does not answer; the message says what is unknown");

  private final int code;
  private final String meaning;

  ExitCode(int code, String meaning) {
    this.code = code;
    this.meaning = meaning;
  }

  /** Returns the process's exit code. */
  public int code() {
    return code;
  }

  /** Returns the meaning of the code, for help texts. */
  public String meaning() {
    return meaning;
  }
}
