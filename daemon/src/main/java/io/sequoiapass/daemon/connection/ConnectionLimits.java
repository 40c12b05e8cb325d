package io.sequoiapass.daemon.connection;

/**
 * Limits on the size of requests and on idle and receive times of one server connection.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param maxHeaderBytes maximum total size of a request's headers, in bytes
 * @param maxBodyBytes maximum size of a request's body, in bytes
 * @param headerTimeoutMs maximum time to receive a request, in milliseconds; 0 for no limit
 * @param idleTimeoutMs maximum time a connection may be idle between requests, in milliseconds; 0
 *     for no limit
 */
public record ConnectionLimits(
    int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMs, int idleTimeoutMs) {

  /**
   * Validates the limits.
   *
   * @throws IllegalArgumentException if a size is not positive or a timeout is negative
   */
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

  /**
   * Returns these limits with the longer timeouts of both, where no limit is not the longer one.
   *
   * @param other the other limits
   */
  ConnectionLimits longer(ConnectionLimits other) {
    return new ConnectionLimits(
        maxHeaderBytes,
        maxBodyBytes,
        Math.max(headerTimeoutMs, other.headerTimeoutMs),
        Math.max(idleTimeoutMs, other.idleTimeoutMs));
  }
}
