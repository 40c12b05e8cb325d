package io.sequoiapass.gateway.spi;

/** Names the setting that is missing or wrong, for the operator. */
public final class SettingsException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Makes an exception.
   *
   * @param message names the setting, its value and what is allowed
   */
  public SettingsException(String message) {
    super(message);
  }
}
