package io.sequoiapass.daemon.process.command;

/** Lists the exit codes of every command; docs/COMMANDS.md is held to it. */
public enum ExitCode {
  /** All was done. */
  OK(0, "done as asked"),
  /** Something failed that no other code names. */
  FAILED(1, "failed; the message says what was done and what was not"),
  /** Wrong usage or settings. */
  USAGE(2, "wrong usage, setting or configuration file; nothing was changed"),
  /** Refused because somebody else's change came first, or by a daemon. */
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

  /** Returns what the code means to the caller. */
  public String meaning() {
    return meaning;
  }
}
