package io.sequoiapass.daemon.connection;

import io.netty.channel.EventLoop;
import io.sequoiapass.coordination.MillisClock;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Tells whether an event loop reads what came in long ago, as after its process stood still.
 *
 * <pre>{@code
 * LoopPulse pulse = LoopPulse.start(channel.eventLoop(), MillisClock.monotonic());
 * if (pulse.isBehind()) { ... the client of what was just read may have left ... }
 * }</pre>
 *
 * <p>A loop that stood still finds requests together with the closing of their connections, reads
 * the requests first and would send on what nobody waits for. Used on its event loop only.
 */
final class LoopPulse {

  /** Time between two beats, in milliseconds; a task of some microseconds. */
  private static final long BEAT_MS = 100;

  /**
   * Age of the last beat from which on the loop is behind, in milliseconds: two beats left out.
   * Chosen below the half second within which endpoints are to be spared the work of clients that
   * left; a false alarm costs its requests 2 ms.
   */
  private static final long BEHIND_MS = 3 * BEAT_MS;

  /**
   * How long after the beat that ended a gap the loop still counts as behind, in milliseconds: the
   * connections that wait to be accepted are read only in later rounds of the loop.
   */
  private static final long CATCH_UP_MS = 300;

  private final MillisClock clock;
  private long lastBeat;
  private long behindUntil;
  private Future<?> beats;

  private LoopPulse(MillisClock clock) {
    this.clock = clock;
    this.lastBeat = clock.millis();
    this.behindUntil = lastBeat;
  }

  /**
   * Starts the pulse of a loop.
   *
   * @param loop the loop
   * @param clock the clock of the beats
   */
  static LoopPulse start(EventLoop loop, MillisClock clock) {
    LoopPulse pulse = new LoopPulse(clock);
    pulse.beats = loop.scheduleWithFixedDelay(pulse::beat, BEAT_MS, BEAT_MS, TimeUnit.MILLISECONDS);
    return pulse;
  }

  private void beat() {
    long now = clock.millis();
    if (now - lastBeat > BEHIND_MS) {
      behindUntil = now + CATCH_UP_MS;
    }
    lastBeat = now;
  }

  /** Returns whether what the loop reads now may have come in long ago. */
  boolean isBehind() {
    long now = clock.millis();
    return now - lastBeat > BEHIND_MS || now < behindUntil;
  }

  /** Ends the beats. */
  void stop() {
    beats.cancel(false);
  }
}
