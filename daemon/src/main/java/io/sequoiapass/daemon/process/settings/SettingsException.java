package io.sequoiapass.daemon.process.settings;

/** Tells which setting is wrong, its value, and what is allowed; commands exit 2 on it. */
public final class SettingsException extends Exception {

  private static final long serialVersionUID = 1L;

  private SettingsException(String message) {
    super(message);
  }

  /**
   * Returns the failure of a setting whose value is not allowed.
   *
   * @param setting the flag, and the environment variable where there is one
   * @param value the value that was given
   * @param allowed what is allowed
   */
  public static SettingsException wrongValue(String setting, String value, String allowed) {
    return new SettingsException(setting + ": '" + value + "' is wrong; allowed: " + allowed);
  }

  /**
   * Returns the failure of a setting that has to be given and was not.
   *
   * @param setting the flag, and the environment variable where there is one
   * @param allowed what is allowed
   */
  public static SettingsException missing(String setting, String allowed) {
    return new SettingsException(setting + ": not given; allowed: " + allowed);
  }

  /**
   * Returns the failure of a command line that cannot be read as flags and values.
   *
   * @param message what is wrong
   */
  public static SettingsException unreadable(String message) {
    return new SettingsException(message);
  }
}
