package io.sequoiapass.daemon.process.command;

import java.util.Map;
import java.util.OptionalInt;

/** Daemon of a deployment; found by {@link java.util.ServiceLoader}. */
public interface ServeProgram {

  /** Thrown if the daemon cannot start; the message is for the operator. */
  final class ServeException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message the reason
     * @param cause the cause, or null
     */
    public ServeException(String message, Throwable cause) {
      super(message, cause);
    }
  }

  /**
   * Serves until the process is stopped.
   *
   * @param metricsPort the port for metrics; empty to serve none
   * @param environment the environment variables
   * @throws ServeException if it cannot start
   */
  void serve(OptionalInt metricsPort, Map<String, String> environment) throws ServeException;
}
