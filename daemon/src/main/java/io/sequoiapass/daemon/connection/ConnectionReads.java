package io.sequoiapass.daemon.connection;

import io.netty.channel.SingleThreadEventLoop;
import io.sequoiapass.coordination.MillisClock;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Reads all connections of one event loop before actions that rely on their clients.
 *
 * <p>Thread-safe; actions run on the event loop, in the order in which they were added.
 */
final class ConnectionReads implements ClientPresence {

  /** Least number of actions for one read, so that a loop that is always late makes progress. */
  private static final int MIN_ACTIONS = 8;

  private final SingleThreadEventLoop loop;
  private final MillisClock clock;
  private final Queue<Runnable> actions = new ArrayDeque<>();
  private boolean isReading;
  private volatile long readAt;

  /**
   * Creates the reads of an event loop.
   *
   * @param loop the event loop
   * @param clock the monotonic clock
   */
  ConnectionReads(SingleThreadEventLoop loop, MillisClock clock) {
    this.loop = loop;
    this.clock = clock;
    this.readAt = clock.millis();
  }

  @Override
  public long ageMs() {
    return clock.millis() - readAt;
  }

  @Override
  public void afterNextRead(Runnable action) {
    if (loop.inEventLoop()) {
      add(action);
    } else {
      loop.execute(() -> add(action));
    }
  }

  private void add(Runnable action) {
    actions.add(action);
    read();
  }

  private void read() {
    if (!isReading) {
      isReading = true;
      loop.executeAfterEventLoopIteration(this::beforeRead);
    }
  }

  /**
   * Schedules what is due after the next iteration has read the connections. The task is queued
   * twice, since that iteration queues the events of connections that it closes behind the first.
   */
  private void beforeRead() {
    long startedAt = clock.millis();
    int due = actions.size();
    loop.execute(() -> loop.execute(() -> afterRead(startedAt, due)));
  }

  private void afterRead(long startedAt, int due) {
    readAt = startedAt;
    try {
      for (int ran = 0; ran < due && (ran < MIN_ACTIONS || isRecent()); ran++) {
        actions.remove().run();
      }
    } finally {
      isReading = false;
      if (!actions.isEmpty()) {
        read();
      }
    }
  }
}
