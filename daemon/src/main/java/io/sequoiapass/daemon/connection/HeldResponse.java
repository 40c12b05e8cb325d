package io.sequoiapass.daemon.connection;

import java.util.ArrayList;
import java.util.List;

/**
 * The body of a response that is held until it is complete, within the {@link ResponseMemory} of
 * its client.
 *
 * <p>Safe for use by several threads: a response may be discarded by that of another connection.
 */
public final class HeldResponse implements AutoCloseable {

  /** Largest array for several parts, in bytes; one for each part would exceed a short part. */
  private static final int MAX_BLOCK_BYTES = 8 << 10;

  private final ResponseMemory.Share share;
  private final List<byte[]> blocks = new ArrayList<>();
  private byte[] last = new byte[0];
  private int lastBytes;
  private int size;
  private boolean closed;

  /**
   * Creates a body without bytes.
   *
   * @param memory bounds the bytes of all responses
   * @param onDiscarded runs if this response is discarded in favour of another; it must not block
   */
  public HeldResponse(ResponseMemory memory, Runnable onDiscarded) {
    this.share = memory.open(onDiscarded);
  }

  /** Returns the number of bytes. */
  public synchronized int size() {
    return size;
  }

  /**
   * Adds a part.
   *
   * @param part the bytes
   * @return false if there is no room, or the body is closed
   */
  public synchronized boolean add(byte[] part) {
    if (closed || !share.resize(size + (long) part.length)) {
      return false;
    }
    append(part);
    size += part.length;
    return true;
  }

  private void append(byte[] part) {
    int fitting = Math.min(part.length, last.length - lastBytes);
    System.arraycopy(part, 0, last, lastBytes, fitting);
    lastBytes += fitting;
    int rest = part.length - fitting;
    if (rest > 0) {
      last = new byte[Math.max(rest, Math.min(size, MAX_BLOCK_BYTES))];
      System.arraycopy(part, fitting, last, 0, rest);
      lastBytes = rest;
      blocks.add(last);
    }
  }

  /**
   * Counts bytes that are held elsewhere for a response whose parts are passed on.
   *
   * @param bytes the number of bytes
   * @return false if there is no room, or the body is closed
   */
  public synchronized boolean holds(int bytes) {
    if (closed) {
      return false;
    }
    boolean hasRoom = bytes == size || share.resize(bytes);
    size = bytes;
    return hasRoom;
  }

  /** Returns the body and closes this. */
  public synchronized byte[] take() {
    byte[] all = new byte[blocks.isEmpty() ? 0 : size];
    int at = 0;
    for (byte[] block : blocks) {
      int length = Math.min(block.length, all.length - at);
      System.arraycopy(block, 0, all, at, length);
      at += length;
    }
    close();
    return all;
  }

  /** Frees the bytes. */
  @Override
  public synchronized void close() {
    closed = true;
    blocks.clear();
    last = new byte[0];
    lastBytes = 0;
    size = 0;
    share.close();
  }
}
