package io.sequoiapass.daemon.connection.platform;

/** Thrown when an object of the platform does not have the format of its kind. */
public final class ObjectFormatException extends Exception {

  private static final long serialVersionUID = 1L;

  ObjectFormatException(String message, Throwable cause) {
    super(message, cause);
  }
}
