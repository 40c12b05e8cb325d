package io.sequoiapass.testbed.proxy;

import java.util.Objects;

/**
 * Tells what the proxy does to the bytes that pass.
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

  /** Lets everything pass; bytes held back by a freeze go on their way. */
  public static ProxyFault none() {
    return new ProxyFault(ProxyMode.NONE, 0, 0, null);
  }

  /** Closes all connections and closes each new one at once. */
  public static ProxyFault cut() {
    return new ProxyFault(ProxyMode.CUT, 0, 0, null);
  }

  /**
   * Holds each part back for a time, both ways.
   *
   * @param millis how long
   */
  public static ProxyFault delay(int millis) {
    return new ProxyFault(ProxyMode.DELAY, millis, 0, null);
  }

  /** Holds back all bytes both ways and closes nothing, so that neither side learns of it. */
  public static ProxyFault freeze() {
    return new ProxyFault(ProxyMode.FREEZE, 0, 0, null);
  }

  /**
   * Closes a connection once a number of bytes more went one way over it.
   *
   * @param direction which way is counted
   * @param bytes how many still pass
   */
  public static ProxyFault dropAfter(Direction direction, long bytes) {
    return new ProxyFault(ProxyMode.DROP_AFTER, 0, bytes, Objects.requireNonNull(direction));
  }

  /**
   * Holds back all bytes one way and closes nothing; the other way stays whole. Bytes are not lost,
   * since TCP sends again what a partition swallowed.
   *
   * @param direction which way is cut
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

  /** Returns whether bytes of this way are held back. */
  boolean holds(Direction way) {
    return mode == ProxyMode.FREEZE || (mode == ProxyMode.ONE_WAY_CUT && direction == way);
  }

  /** Returns whether bytes of this way are counted until the connection is closed. */
  boolean drops(Direction way) {
    return mode == ProxyMode.DROP_AFTER && direction == way;
  }

  @Override
  public String toString() {
    return mode + " delay=" + delayMs + " bytes=" + bytes + " direction=" + direction;
  }
}
