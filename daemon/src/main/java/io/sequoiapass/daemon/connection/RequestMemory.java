package io.sequoiapass.daemon.connection;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the bytes that the bodies of all requests in progress hold together.
 *
 * <p>The load it answers: many long requests at a time, which fill the heap although each is within
 * the limit for one. A body that has no room is refused before it is read; short bodies always have
 * room, so that they are served beside long ones.
 *
 * <p>Safe for use by several threads.
 */
public final class RequestMemory {

  /** Any number of bodies. */
  public static final RequestMemory UNBOUNDED = new RequestMemory(Long.MAX_VALUE);

  /** Longest body that always has room, in bytes. */
  static final int SHORT_BYTES = 16 << 10;

  /** Part of the heap that bodies may fill; the rest is for responses and the state. */
  private static final double HEAP_SHARE = 0.3;

  private final long maxBytes;
  private final AtomicLong usedBytes = new AtomicLong();

  /**
   * Creates a memory without bodies.
   *
   * @param maxBytes most bytes that all bodies may hold
   */
  public RequestMemory(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Returns a memory for this process. */
  public static RequestMemory ofHeap() {
    return new RequestMemory((long) (Runtime.getRuntime().maxMemory() * HEAP_SHARE));
  }

  /** Returns the number of bytes that bodies hold, without those of short ones. */
  public long usedBytes() {
    return usedBytes.get();
  }

  /** Reserves room for a body; returns false if there is none. */
  boolean tryReserve(long bytes) {
    if (bytes <= SHORT_BYTES) {
      return true;
    }
    long used = usedBytes.get();
    while (used + bytes <= maxBytes) {
      if (usedBytes.compareAndSet(used, used + bytes)) {
        return true;
      }
      used = usedBytes.get();
    }
    return false;
  }

  /** Frees the room of a body that was reserved. */
  void release(long bytes) {
    if (bytes > SHORT_BYTES) {
      usedBytes.addAndGet(-bytes);
    }
  }
}
