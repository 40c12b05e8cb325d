package io.sequoiapass.daemon.request;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.RequestId;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Names requests so that no two share a name, whatever their callers call them.
 *
 * <p>Two callers may send the same id at once; an engine that keeps streams by id would then hand
 * one's tokens to the other. The daemon, its incarnation and a counter make the name unique. Safe
 * for use by several threads.
 */
public final class RequestIds {

  /** Longest id taken from a caller, in characters, so that ours stays within its bound. */
  public static final int MAX_CALLER_ID = 64;

  private static final char SEPARATOR = '~';
  private static final int RADIX = 36;

  private final String suffix;
  private final AtomicLong counter = new AtomicLong();

  /**
   * Makes a source of names.
   *
   * @param daemon this daemon
   * @param incarnation a number that differs with each start of it
   */
  public RequestIds(DaemonId daemon, long incarnation) {
    this.suffix = SEPARATOR + daemon.value() + "." + Long.toString(incarnation, RADIX) + ".";
  }

  /**
   * Returns a new name.
   *
   * @param callerId the caller's own name, perhaps empty
   */
  public RequestId next(String callerId) {
    return new RequestId(callerId + suffix + Long.toString(counter.incrementAndGet(), RADIX));
  }

  /**
   * Returns the caller's own name in one of our names, perhaps empty.
   *
   * @param id one of our names
   */
  public static String callerIdOf(RequestId id) {
    int separator = id.value().lastIndexOf(SEPARATOR);
    return separator < 0 ? id.value() : id.value().substring(0, separator);
  }

  /** Returns a text that differs from call to call. */
  String spread() {
    return Long.toString(counter.get(), RADIX);
  }
}
