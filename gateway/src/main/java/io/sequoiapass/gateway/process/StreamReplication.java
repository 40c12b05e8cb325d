package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.connection.StreamRecord;
import io.sequoiapass.gateway.version.StreamVersion;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which of this daemon's streams are sent to which other daemons, which keep them for the
 * case that this one fails.
 *
 * <pre>{@code
 * for (Batch batch : replication.due(members.ranked(), now)) {
 *   send(batch);   // then delivered(batch, process), or failed(batch, now)
 * }
 * }</pre>
 *
 * <p>A daemon that takes the place of another, and one whose process is new, gets all streams that
 * are still kept. Safe for use by several threads.
 */
final class StreamReplication {

  /** Largest number of streams in a batch: 18 KB. */
  private static final int MAX_BATCH = 2_000;

  /** How long a daemon that could not be reached is left out, in milliseconds. */
  private static final long EXCLUSION_MS = 1_000;

  /** Bytes that a daemon may send for its streams in a second. */
  private static final double MAX_BYTES_PER_S = 2_600;

  /** Bytes of one batch besides its streams: the heads of a request and its response. */
  private static final double BATCH_BYTES = 150;

  /** Bytes of one stream in a batch. */
  private static final double STREAM_BYTES = 9.5;

  /** Bytes of a record that is sent on its own, with the heads of the datagram. */
  private static final double RECORD_BYTES = StreamRecord.BYTES + 28;

  /**
   * Largest number of new streams a second of which each is sent to all keepers at once; beyond it
   * the bytes allow one.
   */
  private static final double MAX_RECORDED_PER_S = 20;

  /** Longest interval between batches, in milliseconds. */
  private static final long MAX_INTERVAL_MS = 1_000;

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final int MIN_KEEPERS = 2;
  private static final int MAX_KEEPERS = 4;

  /**
   * Largest number of other daemons of which several often fail at once. In a larger fleet further
   * keepers save few streams, and each costs seven messages a second.
   */
  private static final int SMALL_FLEET = 12;

  private static final class Keeper {
    private long next;
    private boolean sending;
    private String process = "";
    private long excludedUntil = Long.MIN_VALUE;
  }

  private final StreamVersions versions;
  private final Map<DaemonId, Keeper> keepers = new HashMap<>();
  private List<LinkMessage.Member> chosen = List.of();
  private long nextDueAt = Long.MIN_VALUE;

  /** Largest number of daemons that get a stream on its own. */
  private int recordsPerStream = MAX_KEEPERS;

  /** Whether streams have been sent on their own since the last batches. */
  private boolean sendsRecords;

  /**
   * Creates a replication to no daemons.
   *
   * @param versions this daemon's streams
   */
  StreamReplication(StreamVersions versions) {
    this.versions = versions;
  }

  /**
   * Streams that one daemon is to keep.
   *
   * @param to the daemon
   * @param streams the keys of the streams that each version began
   * @param next the number of the first stream after them
   */
  record Batch(LinkMessage.Member to, Map<StreamVersion, List<Long>> streams, long next) {}

  /**
   * Returns the batches that are due; each has to be reported as delivered or failed.
   *
   * @param ranked the other daemons, best first
   * @param now the time, in milliseconds
   */
  synchronized List<Batch> due(List<LinkMessage.Member> ranked, long now) {
    if (now < nextDueAt) {
      return List.of();
    }
    double streamsPerS = versions.ratePerS();
    double recordBytes = sendsRecords ? RECORD_BYTES : 0;
    nextDueAt = now + intervalMs(streamsPerS, recordBytes) - StreamVersionLinks.INTERVAL_MS;
    sendsRecords = false;
    recordsPerStream = streamsPerS <= MAX_RECORDED_PER_S ? MAX_KEEPERS : 1;
    int count = ranked.size() > SMALL_FLEET ? MIN_KEEPERS : keepers(streamsPerS, recordBytes);
    keepers.keySet().retainAll(ranked.stream().map(LinkMessage.Member::daemon).toList());
    List<Batch> due = new ArrayList<>();
    List<LinkMessage.Member> newlyChosen = new ArrayList<>();
    for (LinkMessage.Member member : ranked) {
      if (newlyChosen.size() == count) {
        break;
      }
      Keeper keeper = keepers.computeIfAbsent(member.daemon(), any -> new Keeper());
      if (now < keeper.excludedUntil) {
        continue;
      }
      newlyChosen.add(member);
      if (!keeper.sending) {
        List<StreamVersions.OwnStream> streams = versions.own(keeper.next);
        if (!streams.isEmpty()) {
          keeper.sending = true;
          due.add(batch(member, streams.subList(0, Math.min(MAX_BATCH, streams.size()))));
        }
      }
    }
    chosen = List.copyOf(newlyChosen);
    return due;
  }

  /** Returns the daemons that are to get a stream on its own, before its first event is sent. */
  synchronized List<LinkMessage.Member> recordKeepers() {
    sendsRecords = true;
    return chosen.subList(0, Math.min(recordsPerStream, chosen.size()));
  }

  /** Returns the time until the next batches, which grows with what is sent besides them. */
  private static long intervalMs(double streamsPerS, double recordBytes) {
    double spare = MAX_BYTES_PER_S - (recordBytes + MIN_KEEPERS * STREAM_BYTES) * streamsPerS;
    double interval = MIN_KEEPERS * BATCH_BYTES * MILLIS_PER_SECOND / Math.max(1, spare);
    return (long) Math.max(StreamVersionLinks.INTERVAL_MS, Math.min(MAX_INTERVAL_MS, interval));
  }

  /**
   * Returns how many daemons of a small fleet keep the streams: as many as the bytes allow, since
   * several daemons may fail at once.
   */
  private static int keepers(double streamsPerS, double recordBytes) {
    double each =
        BATCH_BYTES * MILLIS_PER_SECOND / StreamVersionLinks.INTERVAL_MS
            + (STREAM_BYTES + recordBytes) * streamsPerS;
    return (int) Math.max(MIN_KEEPERS, Math.min(MAX_KEEPERS, MAX_BYTES_PER_S / each));
  }

  private static Batch batch(LinkMessage.Member to, List<StreamVersions.OwnStream> streams) {
    Map<StreamVersion, List<Long>> byVersion = new LinkedHashMap<>();
    streams.forEach(
        stream ->
            byVersion
                .computeIfAbsent(stream.version(), any -> new ArrayList<>())
                .add(stream.key()));
    return new Batch(to, byVersion, streams.get(streams.size() - 1).number() + 1);
  }

  /**
   * Records that a daemon keeps the streams of a batch.
   *
   * @param batch the batch
   * @param process identifies the daemon's process; another one than before has lost earlier ones
   */
  synchronized void delivered(Batch batch, String process) {
    Keeper keeper = keepers.get(batch.to().daemon());
    if (keeper != null) {
      boolean lost = !keeper.process.isEmpty() && !keeper.process.equals(process);
      keeper.process = process;
      keeper.sending = false;
      keeper.next = lost ? 0 : batch.next();
    }
  }

  /** Records that a batch may not have arrived; the next daemon takes its place for a while. */
  synchronized void failed(Batch batch, long now) {
    Keeper keeper = keepers.get(batch.to().daemon());
    if (keeper != null) {
      keeper.sending = false;
      keeper.excludedUntil = now + EXCLUSION_MS;
    }
  }
}
