package io.sequoiapass.daemon.process;

import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.daemon.process.entry.Entries;
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
 * Drives a {@link StopSequence} with what is really under way in the daemon.
 *
 * <p>Safe for use by several threads.
 */
final class PlannedStop {

  private final StopSequence sequence;
  private final MillisClock clock;
  private final Entries entries;
  private final Owner owner;
  private final OwnershipNode ownership;
  private final LedgerNode ledger;
  private final Timeline timeline;
  private final CountDownLatch stopped = new CountDownLatch(1);

  PlannedStop(
      StopSequence sequence,
      MillisClock clock,
      Entries entries,
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

  /** Returns how far the stop has come. */
  StopSequence.Phase phase() {
    synchronized (sequence) {
      return sequence.phase();
    }
  }

  /** Begins the stop: nothing under way is cut off, and everything owned is handed over. */
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

  /** Lets time pass. */
  void tick() {
    StopSequence.Phase before;
    StopSequence.Phase after;
    int underWay = entries.size() + owner.size();
    if (phase() != StopSequence.Phase.SERVING && entries.size() == 0) {
      // Not before: the record of a member's request is closed when the member leaves.
      ledger.leave();
    }
    synchronized (sequence) {
      before = sequence.phase();
      sequence.tick(clock.millis(), underWay, ownership.hasSuccessor() ? ownership.owned() : 0);
      after = sequence.phase();
    }
    if (before != after && after == StopSequence.Phase.STOPPED) {
      EventLog.log(LogEvent.STOPPED, underWay);
      stopped.countDown();
    }
  }

  /** Blocks until the stop has ended. */
  void await() throws InterruptedException {
    stopped.await();
  }

  /** Gives the lease up, and waits for the platform's answer for a while. */
  void releaseLease(long limitMs) throws InterruptedException {
    try {
      ownership.release().get(limitMs, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException notReleased) {
      // It runs out by itself; only the next process under this name waits for that.
      EventLog.log(LogEvent.PLATFORM_UNREACHABLE, String.valueOf(notReleased.getMessage()));
    }
  }
}
