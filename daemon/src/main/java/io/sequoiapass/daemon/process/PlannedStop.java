package io.sequoiapass.daemon.process;

import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.daemon.process.entry.EntryShards;
import io.sequoiapass.daemon.process.ledger.LedgerNode;
import io.sequoiapass.daemon.process.log.EventLog;
import io.sequoiapass.daemon.process.log.LogEvent;
import io.sequoiapass.daemon.process.owner.Owner;
import io.sequoiapass.daemon.process.ownership.OwnershipNode;
import io.sequoiapass.daemon.process.timeline.Timeline;
import io.sequoiapass.daemon.process.timeline.TimelineEvent;
import io.sequoiapass.daemon.process.timeline.TimelineKind;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Drives a {@link StopSequence} from the daemon's requests in flight and owned endpoints.
 *
 * <p>Safe for use by several threads.
 */
final class PlannedStop {

  private final StopSequence sequence;
  private final MillisClock clock;
  private final EntryShards entries;
  private final Owner owner;
  private final OwnershipNode ownership;
  private final LedgerNode ledger;
  private final Timeline timeline;
  private final CountDownLatch stopped = new CountDownLatch(1);

  PlannedStop(
      StopSequence sequence,
      MillisClock clock,
      EntryShards entries,
      Owner owner,
      OwnershipNode ownership,
      LedgerNode ledger,
      Timeline timeline) {
    this.sequence = Objects.requireNonNull(sequence, "sequence");
    this.clock = Objects.requireNonNull(clock, "clock");
    this.entries = Objects.requireNonNull(entries, "entries");
    this.owner = Objects.requireNonNull(owner, "owner");
    this.ownership = Objects.requireNonNull(ownership, "ownership");
    this.ledger = Objects.requireNonNull(ledger, "ledger");
    this.timeline = Objects.requireNonNull(timeline, "timeline");
  }

  /** Returns the current phase. */
  StopSequence.Phase phase() {
    synchronized (sequence) {
      return sequence.phase();
    }
  }

  /** Begins the stop: requests in flight finish and owned endpoints are handed over. */
  void begin() {
    synchronized (sequence) {
      if (sequence.phase() != StopSequence.Phase.SERVING) {
        return;
      }
      sequence.begin(clock.millis());
    }
    EventLog.log(LogEvent.DRAINING, entries.size() + owner.size());
    timeline.record(TimelineEvent.of(TimelineKind.DRAINING).build());
    ownership.drain();
  }

  /** Advances the phase. */
  void tick() {
    StopSequence.Phase before;
    StopSequence.Phase after;
    int inFlight = entries.size() + owner.size();
    if (phase() != StopSequence.Phase.SERVING && entries.size() == 0) {
      // Only when no request is left: leaving closes the ledger records of this member's requests.
      ledger.leave();
    }
    synchronized (sequence) {
      before = sequence.phase();
      sequence.tick(clock.millis(), inFlight, ownership.hasSuccessor() ? ownership.owned() : 0);
      after = sequence.phase();
    }
    if (before != after && after == StopSequence.Phase.STOPPED) {
      EventLog.log(LogEvent.STOPPED, inFlight);
      stopped.countDown();
    }
  }

  /** Blocks until the stop has ended. */
  void await() throws InterruptedException {
    stopped.await();
  }

  /** Releases the lease and waits up to a limit for the platform's answer. */
  void releaseLease(long limitMs) throws InterruptedException {
    try {
      ownership.release().get(limitMs, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException notReleased) {
      // The lease expires by itself; only the next process under this name has to wait for that.
      EventLog.log(LogEvent.PLATFORM_UNREACHABLE, String.valueOf(notReleased.getMessage()));
    }
  }
}
