package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.daemon.connection.HttpServer;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * Closes the servers of a stopping daemon once the requests in flight have ended or the grace
 * period is over.
 *
 * <p>Not safe for use by several threads.
 */
final class ServerDrain {

  /**
   * Shortest time that a stopping daemon waits, in milliseconds: the load balancer polls readiness
   * once a second and needs two failures.
   */
  private static final long MIN_STOP_MS = 2_600;

  /** Last part of the grace period, left for the exit of the process, in milliseconds. */
  private static final long STOP_MARGIN_MS = 450;

  /** Part of the grace period before that in which the last answers are sent, in milliseconds. */
  private static final long LAST_ANSWERS_MS = 200;

  private static final long STOP_POLL_MS = 50;
  private static final long LAST_ANSWERS_POLL_MS = 10;

  private final HttpServer callers;
  private final HttpServer peers;
  private final IntSupplier inFlight;
  private final PlannedStop stop;
  private final MillisClock clock;
  private final long startedAt;
  private final long exitsAt;

  /**
   * Creates a drain that begins now.
   *
   * @param callers the server of the callers
   * @param peers the server of other daemons' requests
   * @param inFlight returns how many requests of callers have not ended
   * @param stop what requests are told of the stop
   * @param clock the monotonic clock
   * @param graceMs time until the process is killed, in milliseconds
   */
  ServerDrain(
      HttpServer callers,
      HttpServer peers,
      IntSupplier inFlight,
      PlannedStop stop,
      MillisClock clock,
      long graceMs) {
    this.callers = callers;
    this.peers = peers;
    this.inFlight = inFlight;
    this.stop = stop;
    this.clock = clock;
    this.startedAt = clock.millis();
    this.exitsAt = startedAt + graceMs - STOP_MARGIN_MS;
    callers.closeAfterAnswers();
    peers.closeAfterAnswers();
  }

  /**
   * Waits for the requests in flight.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  void awaitRequests() throws InterruptedException {
    long latest = exitsAt - LAST_ANSWERS_MS;
    stop.start(new DrainSchedule(startedAt + MIN_STOP_MS, latest));
    while (clock.millis() < latest) {
      stop.rejectLate();
      boolean polledLongEnough = clock.millis() - startedAt >= MIN_STOP_MS;
      if (polledLongEnough) {
        callers.closeIdle();
      }
      if (polledLongEnough && inFlight.getAsInt() == 0 && callers.openConnections() == 0) {
        break;
      }
      TimeUnit.MILLISECONDS.sleep(STOP_POLL_MS);
    }
  }

  /**
   * Ends the requests that are left, and waits until their answers are sent.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  void awaitLastAnswers() throws InterruptedException {
    stop.end();
    while (clock.millis() < exitsAt && callers.openConnections() + peers.openConnections() > 0) {
      callers.closeIdle();
      peers.closeIdle();
      TimeUnit.MILLISECONDS.sleep(LAST_ANSWERS_POLL_MS);
    }
  }
}
