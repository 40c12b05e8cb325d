package io.sequoiapass.daemon.connection.platform;

/** Tells that an object of the platform is not what its kind asks for. */
public final class ObjectFormatException extends Exception {

  private static final long serialVersionUID = 1L;

  ObjectFormatException(String message, Throwable cause) {
    super(message, cause);
  }
}
