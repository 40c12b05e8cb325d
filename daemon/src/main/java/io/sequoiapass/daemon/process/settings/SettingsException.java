package io.sequoiapass.daemon.process.settings;

/** Thrown for a missing or invalid setting; commands exit with code 2 on it. */
public final class SettingsException extends Exception {

  private static final long serialVersionUID = 1L;

  private SettingsException(String message) {
    super(message);
  }

  /**
   * Creates the exception for a setting whose value is not allowed.
   *
   * @param setting the flag, and the environment variable if there is one
   * @param value the given value
   * @param allowed what is allowed
   */
  public static SettingsException wrongValue(String setting, String value, String allowed) {
    return new SettingsException(setting + ": '" + value + "' is wrong; allowed: " + allowed);
  }

  /**
   * Creates the exception for a required setting that is not given.
   *
   * @param setting the flag, and the environment variable if there is one
   * @param allowed what is allowed
   */
  public static SettingsException missing(String setting, String allowed) {
    return new SettingsException(setting + ": not given; allowed: " + allowed);
  }

  /**
   * Creates the exception for a command line that cannot be parsed.
   *
   * @param message the error
   */
  public static SettingsException unreadable(String message) {
    return new SettingsException(message);
  }
}
