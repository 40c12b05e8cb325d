package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.gateway.version.StreamVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The streams that have begun lately, each with the software version that began it: those of this
 * daemon, and those that other daemons have told it.
 *
 * <pre>{@code
 * versions.began(requestId, version);               // before the first event is sent to the caller
 * versions.find(StreamVersions.key(requestId));     // when a caller resumes the stream
 * }</pre>
 *
 * <p>Safe for use by several threads: one shard under its own lock.
 */
public final class StreamVersions {

  /** How long a stream is kept, in milliseconds; longer than callers may resume one. */
  static final long RETENTION_MS = 60_000;

  /**
   * Largest number of streams: at 65 new ones a second, with those of four other daemons, a daemon
   * keeps 19,500 for the retention.
   */
  static final int MAX_STREAMS = 24_000;

  private static final long RATE_MS = 5_000;
  private static final double MILLIS_PER_SECOND = 1_000;

  private record Stream(StreamVersion version, long at) {}

  private final MillisClock clock;
  private volatile Consumer<OwnStream> onBegun = any -> {};
  private final Map<Long, Stream> streams = new LinkedHashMap<>();
  private final Deque<OwnStream> own = new ArrayDeque<>();
  private long next;

  /**
   * Creates a table without streams.
   *
   * @param clock the monotonic clock
   */
  public StreamVersions(MillisClock clock) {
    this.clock = clock;
  }

  /**
   * One stream of this daemon.
   *
   * @param key stands for the caller's attempt
   * @param version the version that began it
   * @param number counts the streams of this daemon
   * @param at when it began, in milliseconds
   */
  record OwnStream(long key, StreamVersion version, long number, long at) {}

  /** Returns the number that stands for an attempt of a caller. */
  static long key(String requestId) {
    return MurmurHash3.hash128x64(requestId.getBytes(StandardCharsets.UTF_8))[0];
  }

  /**
   * Records that the first event of a stream is about to be sent to its caller.
   *
   * @param requestId the caller's attempt
   * @param version the version that wrote the event
   */
  public void began(String requestId, StreamVersion version) {
    onBegun.accept(add(key(requestId), version));
  }

  private synchronized OwnStream add(long key, StreamVersion version) {
    long now = clock.millis();
    while (!own.isEmpty() && isExpired(own.peekFirst().at(), now)) {
      own.removeFirst();
    }
    OwnStream stream = new OwnStream(key, version, next++, now);
    own.addLast(stream);
    put(key, version);
    return stream;
  }

  /** Sets what is called with each stream of this daemon, before its first event is sent. */
  void onBegun(Consumer<OwnStream> action) {
    onBegun = action;
  }

  /** Records a stream that began at another daemon. */
  synchronized void learned(long key, StreamVersion version) {
    put(key, version);
  }

  private static boolean isExpired(long at, long now) {
    return now - at > RETENTION_MS;
  }

  private void put(long key, StreamVersion version) {
    long now = clock.millis();
    Iterator<Stream> oldest = streams.values().iterator();
    while (oldest.hasNext()) {
      if (!isExpired(oldest.next().at(), now) && streams.size() < MAX_STREAMS) {
        break;
      }
      oldest.remove();
    }
    streams.putIfAbsent(key, new Stream(version, now));
  }

  /** Returns the version that began a stream; empty if it is not known. */
  synchronized Optional<StreamVersion> find(long key) {
    return Optional.ofNullable(streams.get(key))
        .filter(stream -> !isExpired(stream.at(), clock.millis()))
        .map(Stream::version);
  }

  /** Returns how many streams of this daemon begin in a second. */
  synchronized double ratePerS() {
    long since = clock.millis() - RATE_MS;
    Iterator<OwnStream> newest = own.descendingIterator();
    int count = 0;
    while (newest.hasNext() && newest.next().at() > since) {
      count++;
    }
    return count * MILLIS_PER_SECOND / RATE_MS;
  }

  /** Returns the streams of this daemon from a number on, oldest first. */
  synchronized List<OwnStream> own(long from) {
    Deque<OwnStream> found = new ArrayDeque<>();
    Iterator<OwnStream> newest = own.descendingIterator();
    while (newest.hasNext()) {
      OwnStream stream = newest.next();
      if (stream.number() < from || isExpired(stream.at(), clock.millis())) {
        break;
      }
      found.addFirst(stream);
    }
    return List.copyOf(found);
  }
}
