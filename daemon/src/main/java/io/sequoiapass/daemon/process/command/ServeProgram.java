package io.sequoiapass.daemon.process.command;

import java.util.Map;
import java.util.OptionalInt;

/** Runs the daemon of a deployment; found in the binary by its name in the service files. */
public interface ServeProgram {

  /** Tells why the daemon could not start, in words for the operator. */
  final class ServeException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Makes an exception.
     *
     * @param message the reason
     * @param cause what was caught; null if nothing was
     */
    public ServeException(String message, Throwable cause) {
      super(message, cause);
    }
  }

  /**
   * Serves until the process is told to stop.
   *
   * @param metricsPort where metrics are served; empty for nowhere
   * @param environment the environment variables
   * @throws ServeException if it cannot start
   */
  void serve(OptionalInt metricsPort, Map<String, String> environment) throws ServeException;
}
