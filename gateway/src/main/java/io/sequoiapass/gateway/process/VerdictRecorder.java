package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.gateway.spi.MetadataStore;
import io.sequoiapass.gateway.spi.StoreKind;
import io.sequoiapass.gateway.spi.VerdictRecord;
import java.util.Comparator;
import java.util.concurrent.Executor;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;

/**
 * Keeps the verdicts on requests that crash endpoints in the store: if all daemons are restarted
 * within a few seconds, none is left that knows them, and each would have to be found out again by
 * further crashes.
 *
 * <p>A daemon reads the record once at its start, since it may serve callers before a coordinator
 * is elected. Coordinators write a verdict when it begins and when it ends. Safe for use by several
 * threads.
 */
final class VerdictRecorder {

  /** Largest number of keys; bounds the size of the object. */
  private static final int MAX_KEYS = 128;

  private final PromptPartGuard guard;
  private final StoreRecord<VerdictRecord> record;
  private final DecisionLog log;
  private volatile boolean wasRead;

  /**
   * Creates a recorder.
   *
   * @param store holds the record
   * @param guard knows the verdicts
   * @param loop runs callbacks
   * @param clock the monotonic clock
   * @param log the log
   */
  VerdictRecorder(
      MetadataStore store,
      PromptPartGuard guard,
      Executor loop,
      MillisClock clock,
      DecisionLog log) {
    this.guard = guard;
    this.log = log;
    this.record =
        new StoreRecord<>(
            store,
            StoreKind.VERDICTS,
            VerdictRecord.NAME,
            VerdictRecord.EMPTY,
            this::observed,
            loop,
            clock);
  }

  private void observed(VerdictRecord read) {
    guard.adopt(read.parts());
    wasRead = true;
  }

  /**
   * Reads or writes the record if that is due; called several times a second.
   *
   * @param isCoordinator whether this daemon coordinates its data centre
   */
  void tick(boolean isCoordinator) {
    if (isCoordinator) {
      record.tick(before -> next(), this::written);
    } else if (wasRead) {
      record.forget();
    } else {
      record.tick(UnaryOperator.identity(), this::written);
    }
  }

  private VerdictRecord next() {
    return new VerdictRecord(
        guard.convicted().stream()
            .sorted(Comparator.comparingLong(PartKey::value))
            .limit(MAX_KEYS)
            .collect(Collectors.toSet()));
  }

  private void written(VerdictRecord record) {
    log.event("verdicts_recorded").with("parts", record.parts().size()).write();
  }
}
