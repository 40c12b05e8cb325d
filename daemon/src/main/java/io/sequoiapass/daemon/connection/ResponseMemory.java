package io.sequoiapass.daemon.connection;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;

/**
 * Bounds the bytes that all responses which are not complete hold together.
 *
 * <p>The load it answers: servers in trouble send long responses that do not end, many at a time,
 * and together they exceed the heap although each is bounded. Where there is no room, the longest
 * response is discarded, since those that do not end become longer than others.
 *
 * <pre>{@code
 * ResponseMemory.Share share = memory.open(() -> abandon("no memory"));
 * if (!share.resize(held + part.length)) {
 *   abandon("no memory");
 * }
 * share.close();
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
public final class ResponseMemory {

  /** Three responses of the greatest length, in bytes. */
  public static final long DEFAULT_BYTES = 24L << 20;

  private final long maxBytes;
  private final Executor executor;
  private final Set<Share> shares = new HashSet<>();
  private long usedBytes;
  private long discarded;

  /**
   * Creates a memory without responses.
   *
   * @param maxBytes most bytes that all responses may hold
   * @param executor runs the actions of responses that are discarded
   */
  public ResponseMemory(long maxBytes, Executor executor) {
    this.maxBytes = maxBytes;
    this.executor = Objects.requireNonNull(executor, "executor");
  }

  /**
   * Returns the share of a response that holds no bytes; it has to be closed.
   *
   * @param onDiscarded runs if the response is discarded in favour of another; it must not block
   */
  public Share open(Runnable onDiscarded) {
    return new Share(onDiscarded);
  }

  /** Returns the number of bytes that responses hold. */
  public synchronized long usedBytes() {
    return usedBytes;
  }

  /** Returns how many responses were discarded for want of room. */
  public synchronized long discarded() {
    return discarded;
  }

  private boolean resize(Share share, long bytes) {
    Optional<Share> evicted = Optional.empty();
    boolean hasRoom;
    synchronized (this) {
      if (share.closed) {
        return false;
      }
      if (usedBytes - share.bytes + bytes > maxBytes) {
        // One that is longer frees enough.
        evicted = longestAbove(bytes);
        discard(evicted.orElse(share));
      }
      hasRoom = !share.closed;
      if (hasRoom) {
        set(share, bytes);
      }
    }
    evicted.ifPresent(one -> executor.execute(one.onDiscarded));
    return hasRoom;
  }

  private Optional<Share> longestAbove(long bytes) {
    return shares.stream()
        .filter(other -> other.bytes > bytes)
        .max(Comparator.comparingLong(other -> other.bytes));
  }

  private void discard(Share share) {
    discarded++;
    close(share);
  }

  private synchronized void close(Share share) {
    set(share, 0);
    share.closed = true;
  }

  private void set(Share share, long bytes) {
    usedBytes += bytes - share.bytes;
    share.bytes = bytes;
    if (bytes > 0) {
      shares.add(share);
    } else {
      shares.remove(share);
    }
  }

  /** What one response holds; guarded by the lock of the memory. */
  public final class Share implements AutoCloseable {

    private final Runnable onDiscarded;
    private long bytes;
    private boolean closed;

    private Share(Runnable onDiscarded) {
      this.onDiscarded = Objects.requireNonNull(onDiscarded, "onDiscarded");
    }

    /**
     * Sets how many bytes the response holds; longer responses are discarded if there is no room.
     *
     * @param newBytes the number of bytes
     * @return false if the response has to be discarded, or was
     */
    public boolean resize(long newBytes) {
      return ResponseMemory.this.resize(this, newBytes);
    }

    /** Frees the bytes of the response. */
    @Override
    public void close() {
      ResponseMemory.this.close(this);
    }
  }
}
