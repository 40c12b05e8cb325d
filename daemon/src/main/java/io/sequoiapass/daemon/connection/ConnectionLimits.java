package io.sequoiapass.daemon.connection;

/**
 * Bounds what a client may send on one server connection and how long it may take.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param maxHeaderBytes most bytes of all headers of a request
 * @param maxBodyBytes most bytes of a request's body
 * @param headerTimeoutMs how long a request may take to arrive, in milliseconds; 0 for no bound
 * @param idleTimeoutMs how long a connection may rest between requests, in milliseconds; 0 for no
 *     bound
 */
public record ConnectionLimits(
    int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMs, int idleTimeoutMs) {

  /** Checks the bounds. */
  public ConnectionLimits {
    if (maxHeaderBytes <= 0 || maxBodyBytes <= 0) {
      throw new IllegalArgumentException(
          "maxHeaderBytes and maxBodyBytes must be positive: "
              + maxHeaderBytes
              + ", "
              + maxBodyBytes);
    }
    if (headerTimeoutMs < 0 || idleTimeoutMs < 0) {
      throw new IllegalArgumentException(
          "timeouts must not be negative: " + headerTimeoutMs + ", " + idleTimeoutMs);
    }
  }
}
