package io.sequoiapass.testbed.proxy;

import java.util.Objects;

/**
 * Fault that a proxy applies to the traffic through it.
 *
 * <pre>{@code
 * proxy.set(ProxyFault.cut());
 * proxy.set(ProxyFault.oneWayCut(Direction.FROM_TARGET));
 * proxy.set(ProxyFault.none());
 * }</pre>
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public final class ProxyFault {

  private final ProxyMode mode;
  private final int delayMs;
  private final long bytes;
  private final Direction direction;

  private ProxyFault(ProxyMode mode, int delayMs, long bytes, Direction direction) {
    if (delayMs < 0) {
      throw new IllegalArgumentException("delay must not be negative: " + delayMs);
    }
    if (bytes < 0) {
      throw new IllegalArgumentException("bytes must not be negative: " + bytes);
    }
    this.mode = mode;
    this.delayMs = delayMs;
    this.bytes = bytes;
    this.direction = direction;
  }

  /** Forwards all traffic, including bytes that an earlier freeze held back. */
  public static ProxyFault none() {
    return new ProxyFault(ProxyMode.NONE, 0, 0, null);
  }

  /** Resets all connections, and closes each new one when it is accepted. */
  public static ProxyFault cut() {
    return new ProxyFault(ProxyMode.CUT, 0, 0, null);
  }

  /** Closes each new connection when it is accepted; open connections are unaffected. */
  public static ProxyFault refuseNew() {
    return new ProxyFault(ProxyMode.REFUSE_NEW, 0, 0, null);
  }

  /**
   * Delays each chunk of bytes in both directions.
   *
   * @param millis delay in milliseconds
   */
  public static ProxyFault delay(int millis) {
    return new ProxyFault(ProxyMode.DELAY, millis, 0, null);
  }

  /** Holds back all bytes in both directions and closes nothing, so neither side detects it. */
  public static ProxyFault freeze() {
    return new ProxyFault(ProxyMode.FREEZE, 0, 0, null);
  }

  /**
   * Closes a connection after it has forwarded a number of bytes in one direction.
   *
   * @param direction the direction to count
   * @param bytes number of bytes to forward before the close
   */
  public static ProxyFault dropAfter(Direction direction, long bytes) {
    return new ProxyFault(ProxyMode.DROP_AFTER, 0, bytes, Objects.requireNonNull(direction));
  }

  /**
   * Holds back all bytes in one direction and closes nothing; the other direction is unaffected.
   * Bytes are not lost, since TCP retransmits what a partition drops.
   *
   * @param direction the direction to cut
   */
  public static ProxyFault oneWayCut(Direction direction) {
    return new ProxyFault(ProxyMode.ONE_WAY_CUT, 0, 0, Objects.requireNonNull(direction));
  }

  ProxyMode mode() {
    return mode;
  }

  int delayMs() {
    return delayMs;
  }

  long bytes() {
    return bytes;
  }

  /** Returns whether new connections are closed. */
  boolean refusesConnections() {
    return mode == ProxyMode.CUT || mode == ProxyMode.REFUSE_NEW;
  }

  /** Returns whether bytes in this direction are held back. */
  boolean holdsBack(Direction queried) {
    return mode == ProxyMode.FREEZE || (mode == ProxyMode.ONE_WAY_CUT && direction == queried);
  }

  /** Returns whether bytes in this direction count towards closing the connection. */
  boolean dropsAfterLimit(Direction queried) {
    return mode == ProxyMode.DROP_AFTER && direction == queried;
  }

  @Override
  public String toString() {
    return mode + " delay=" + delayMs + " bytes=" + bytes + " direction=" + direction;
  }
}
