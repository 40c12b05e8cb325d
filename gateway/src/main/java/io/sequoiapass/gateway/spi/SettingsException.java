package io.sequoiapass.gateway.spi;

/** Thrown if a setting is missing or invalid; the message names the setting. */
public final class SettingsException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message the setting, its value and the allowed values
   */
  public SettingsException(String message) {
    super(message);
  }
}
