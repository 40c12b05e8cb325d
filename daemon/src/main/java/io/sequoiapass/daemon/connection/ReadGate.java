package io.sequoiapass.daemon.connection;

import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;

/**
 * Decides when one connection is read: not while its reader is paused, and not more often than once
 * in an interval once its answer has begun.
 *
 * <p>The rest between two reads joins what arrives meanwhile: one read, one frame to a peer and one
 * write to the caller carry several tokens, where each token had cost all three. Rests of all
 * connections of a loop end at the same moments, so that they share its wake-ups.
 *
 * <p>Safe for use by several threads; the state is changed on the connection's event loop only.
 */
final class ReadGate {

  private final Channel channel;
  private final int intervalMs;
  private boolean paused;
  private boolean resting;
  private boolean released;

  /**
   * Makes an open gate.
   *
   * @param channel the connection
   * @param intervalMs least time between two reads, in milliseconds; 0 for none
   */
  ReadGate(Channel channel, int intervalMs) {
    this.channel = channel;
    this.intervalMs = intervalMs;
  }

  /** Stops or goes on reading, whatever the interval says. */
  void pause(boolean pause) {
    channel
        .eventLoop()
        .execute(
            () -> {
              paused = pause;
              apply();
            });
  }

  /** Takes that a part of the answer was read; on the connection's event loop. */
  void wasRead() {
    if (intervalMs == 0 || resting) {
      return;
    }
    resting = true;
    apply();
    channel
        .eventLoop()
        .schedule(
            () -> {
              resting = false;
              apply();
            },
            toNextMoment(),
            TimeUnit.MICROSECONDS);
  }

  private long toNextMoment() {
    long intervalMicros = TimeUnit.MILLISECONDS.toMicros(intervalMs);
    long nowMicros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
    return intervalMicros - Math.floorMod(nowMicros, intervalMicros);
  }

  /**
   * Leaves the connection readable for its next exchange; on its event loop. A rest or a pause that
   * arrives later changes nothing: it would hold or open the connection against the next gate.
   */
  void release() {
    released = true;
    channel.config().setAutoRead(true);
  }

  private void apply() {
    if (!released) {
      channel.config().setAutoRead(!paused && !resting);
    }
  }
}
