package io.sequoiapass.daemon.connection;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * The writes of one response, which wait in their order while its head is held back.
 *
 * <p>Thread-safe; held writes run on the thread that releases them.
 */
final class HeldWrites {

  private final Queue<Runnable> held = new ArrayDeque<>();
  private boolean isHolding;

  /** Holds back all writes until {@link #release}. */
  synchronized void hold() {
    isHolding = true;
  }

  /** Runs a write, after those that are held back. */
  void run(Runnable write) {
    if (!add(write)) {
      write.run();
    }
  }

  private synchronized boolean add(Runnable write) {
    return isHolding && held.add(write);
  }

  /** Runs the writes that are held back; called on the connection's event loop only. */
  void release() {
    // Without the lock, since a write may run actions of the request.
    for (Runnable next = next(); next != null; next = next()) {
      next.run();
    }
  }

  private synchronized Runnable next() {
    Runnable next = held.poll();
    isHolding = next != null;
    return next;
  }
}
