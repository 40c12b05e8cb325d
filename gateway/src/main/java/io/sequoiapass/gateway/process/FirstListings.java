package io.sequoiapass.gateway.process;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Decides when a coordinator sends a newly linked daemon its first listing: endpoints, versions of
 * adapters and placements.
 *
 * <pre>{@code
 * listings.add(link, now);
 * for (var due = listings.next(waitingBytes, now); due.isPresent(); ...) {
 *   listings.sent(send(due.get()), now);
 * }
 * }</pre>
 *
 * <p>The load it answers: all daemons link to a new coordinator within a second. Their listings,
 * sent at once, occupy a small host's network link for seconds, in which the events of its callers'
 * streams and its own probes of endpoints are late. So they are sent to one link after the other,
 * in a share of the network link.
 *
 * <p>Not safe for use by several threads.
 *
 * @param <L> the type of links
 */
final class FirstListings<L> {

  /** Share of the host's network link for first listings. */
  static final double LINK_SHARE = 0.25;

  /** How much may be sent ahead of the rate, as its time in milliseconds: a round of updates. */
  static final long AHEAD_MS = BroadcastInterval.ROUND_MS;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final double bytesPerMs;
  private final Set<L> waiting = new LinkedHashSet<>();
  private boolean paced;
  private double sentUntil;
  private long firstAt;
  private int links;
  private long bytes;
  private long mostWaitingBytes;

  /**
   * What a series of listings took.
   *
   * @param links the number of listings
   * @param bytes their size
   * @param lastedMs the time from the first link to the last listing, in milliseconds
   * @param mostWaitingBytes the most bytes that waited in the process to be sent
   */
  record Series(int links, long bytes, long lastedMs, long mostWaitingBytes) {}

  /**
   * Creates an instance without links.
   *
   * @param linkBytesPerS rate of the host's network link, in bytes a second
   */
  FirstListings(long linkBytesPerS) {
    this.bytesPerMs = linkBytesPerS * LINK_SHARE / MILLIS_PER_SECOND;
  }

  /**
   * Starts a term of the coordinator.
   *
   * @param isFirst whether the data centre has had no coordinator before; its daemons have no
   *     callers yet and need the listing in order to serve
   */
  void activated(boolean isFirst) {
    waiting.clear();
    paced = !isFirst;
    sentUntil = 0;
    links = 0;
    bytes = 0;
    mostWaitingBytes = 0;
  }

  /** Adds a link that needs a listing, unless it waits for one. */
  void add(L link, long now) {
    if (waiting.isEmpty() && links == 0) {
      firstAt = now;
    }
    waiting.add(link);
  }

  /** Removes a link that has closed. */
  void remove(L link) {
    waiting.remove(link);
  }

  /** Returns whether a link waits for its listing. */
  boolean isWaiting(L link) {
    return waiting.contains(link);
  }

  /** Returns the number of links that wait for a listing. */
  int size() {
    return waiting.size();
  }

  /**
   * Removes and returns the next link if its listing is due.
   *
   * @param waitingBytes the bytes that wait in the process to be sent to daemons
   * @param now the time, in milliseconds
   */
  Optional<L> next(long waitingBytes, long now) {
    mostWaitingBytes = Math.max(mostWaitingBytes, waitingBytes);
    boolean isDue = sentUntil - now < AHEAD_MS && waitingBytes < AHEAD_MS * bytesPerMs;
    Optional<L> first = waiting.stream().findFirst().filter(link -> !paced || isDue);
    first.ifPresent(waiting::remove);
    return first;
  }

  /** Records the size of a listing that was sent. */
  void sent(long listingBytes, long now) {
    links++;
    bytes += listingBytes;
    sentUntil = Math.max(sentUntil, (double) now) + listingBytes / bytesPerMs;
  }

  /** Returns the series of listings that has ended, once. */
  Optional<Series> ended(long now) {
    if (!waiting.isEmpty() || links == 0) {
      return Optional.empty();
    }
    Series series = new Series(links, bytes, now - firstAt, mostWaitingBytes);
    links = 0;
    bytes = 0;
    mostWaitingBytes = 0;
    return Optional.of(series);
  }
}
