package io.sequoiapass.daemon.request;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.RequestId;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Generates request ids that are unique whatever ids the callers send.
 *
 * <p>Two callers may send the same id concurrently; an engine that identifies streams by request id
 * would then send one caller's tokens to the other. The daemon, its incarnation and a counter make
 * the id unique. Safe for use by several threads.
 */
public final class RequestIds {

  /** Maximum length of a caller's id in characters, so that a generated id fits its own limit. */
  public static final int MAX_CALLER_ID = 64;

  private static final char SEPARATOR = '~';
  private static final int RADIX = 36;

  private final String suffix;
  private final AtomicLong counter = new AtomicLong();

  /**
   * Creates a generator.
   *
   * @param daemon this daemon
   * @param incarnation a number that differs between runs of the daemon's process
   */
  public RequestIds(DaemonId daemon, long incarnation) {
    this.suffix = SEPARATOR + daemon.value() + "." + Long.toString(incarnation, RADIX) + ".";
  }

  /**
   * Returns a new id.
   *
   * @param callerId the caller's own id; may be empty
   */
  public RequestId next(String callerId) {
    return new RequestId(callerId + suffix + Long.toString(counter.incrementAndGet(), RADIX));
  }

  /**
   * Returns the caller's own id from a generated one; may be empty.
   *
   * @param id a generated id
   */
  public static String callerIdOf(RequestId id) {
    int separator = id.value().lastIndexOf(SEPARATOR);
    return separator < 0 ? id.value() : id.value().substring(0, separator);
  }

  /** Returns a text that changes with each generated id. */
  String spread() {
    return Long.toString(counter.get(), RADIX);
  }
}
