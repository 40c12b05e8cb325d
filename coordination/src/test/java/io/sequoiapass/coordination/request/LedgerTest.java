package io.sequoiapass.coordination.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.IdempotencyKey;
import io.sequoiapass.coordination.OperationId;
import io.sequoiapass.coordination.request.LedgerMessage.Answer;
import io.sequoiapass.coordination.request.LedgerRecord.Holder;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LedgerTest {

  private static final LedgerMember PRIMARY = new LedgerMember(new DaemonId("home"), 1);
  private static final LedgerMember SECONDARY = new LedgerMember(new DaemonId("second"), 1);
  private static final IdempotencyKey KEY = new IdempotencyKey("slip-17");
  private static final Holder FIRST = holder("first");
  private static final Holder OTHER = holder("other");

  private final Ledger ledger =
      new Ledger(
          PRIMARY, LedgerSettings.DEFAULT, (key, members) -> members.stream().sorted().toList(), 0);

  private static Holder holder(String entry) {
    return new Holder(new LedgerMember(new DaemonId(entry), 1), new OperationId("o1"));
  }

  @BeforeEach
  void synchronizePrimary() {
    ledger.authorityUntil(1_000);
    ledger.membersChanged(new LedgerView(1, Set.of(PRIMARY, SECONDARY)), 0);
    LedgerMessage reply = new LedgerMessage.Records(SECONDARY, 1, List.of(), List.of(), true);
    ledger.receive(SECONDARY.daemon(), reply, 0);
  }

  /**
   * Confirms each copy as the secondary, replies to holder queries that the holder is still open,
   * and returns the answers to the entry daemon.
   */
  private List<Optional<ErrorKind>> exchange(LedgerMessage message, Holder holder, long now) {
    List<LedgerSend> sends = new ArrayList<>(ledger.receive(holder.entry().daemon(), message, now));
    for (LedgerSend send : List.copyOf(sends)) {
      if (send.message() instanceof LedgerMessage.Copy copy) {
        LedgerMessage copied = new LedgerMessage.Copied(SECONDARY, KEY, copy.record().sequence());
        sends.addAll(ledger.receive(SECONDARY.daemon(), copied, now));
      } else if (send.message() instanceof LedgerMessage.QueryHolder query) {
        LedgerMessage open = new LedgerMessage.StillOpen(KEY, query.holder(), query.requester());
        sends.addAll(ledger.receive(send.to(), open, now));
      }
    }
    return answers(sends);
  }

  private static List<Optional<ErrorKind>> answers(List<LedgerSend> sends) {
    return sends.stream()
        .filter(send -> send.message() instanceof Answer)
        .map(send -> ((Answer) send.message()).refusal())
        .toList();
  }

  private List<Optional<ErrorKind>> reserve(Holder holder, String digest, long now) {
    return exchange(new LedgerMessage.Reserve(KEY, digest, holder), holder, now);
  }

  private List<Optional<ErrorKind>> markStart(Holder holder) {
    return exchange(new LedgerMessage.MarkStart(KEY, holder), holder, 0);
  }

  /**
   * Guards against running work twice: an entry daemon is partitioned before the start, the key is
   * freed, and the caller's retry reserves it through another entry daemon. The first one then
   * reconnects and requests its start, which must be refused.
   */
  @Test
  void entryDaemonThatLostKeyMayNotStart() {
    assertThat(reserve(FIRST, "body", 0)).containsExactly(Optional.empty());
    ledger.entryDaemonLost(FIRST.entry(), 0);
    assertThat(reserve(OTHER, "body", 0)).containsExactly(Optional.empty());
    assertThat(markStart(FIRST)).containsExactly(Optional.of(ErrorKind.LEDGER_UNAVAILABLE));
    assertThat(markStart(OTHER)).containsExactly(Optional.empty());
  }

  /** Guards against a new key that a lost entry daemon reserves and leaves as possibly run. */
  @Test
  void entryDaemonThatIsLostMayNotReserve() {
    ledger.entryDaemonLost(FIRST.entry(), 0);

    assertThat(reserve(FIRST, "body", 0))
        .containsExactly(Optional.of(ErrorKind.LEDGER_UNAVAILABLE));
    markStart(FIRST);
    ledger.tick(1);
    assertThat(reserve(OTHER, "body", 1)).containsExactly(Optional.empty());
  }

  @Test
  void startedKeyOfLostEntryDaemonIsUnknown() {
    reserve(FIRST, "body", 0);
    markStart(FIRST);
    ledger.entryDaemonLost(FIRST.entry(), 0);
    assertThat(reserve(OTHER, "body", 0))
        .containsExactly(Optional.of(ErrorKind.KEY_OUTCOME_UNKNOWN));
  }

  @Test
  void detectsKeyReusedWithAnotherBody() {
    reserve(FIRST, "body", 0);
    assertThat(reserve(OTHER, "body", 0)).containsExactly(Optional.of(ErrorKind.KEY_IN_PROGRESS));
    assertThat(reserve(OTHER, "else", 0)).containsExactly(Optional.of(ErrorKind.KEY_REUSED));
  }

  @Test
  void primaryWithPossiblyExpiredLeaseRefuses() {
    assertThat(reserve(FIRST, "body", 1_000))
        .containsExactly(Optional.of(ErrorKind.LEDGER_UNAVAILABLE));
  }

  // Without this rule a newly installed fleet would refuse all keyed work for the retention period,
  // although nothing can have run before.
  @Test
  void decidesImmediatelyOnlyWithoutEarlierRecords() {
    LedgerView view = new LedgerView(1, Set.of(PRIMARY, SECONDARY));
    Ledger newLedger =
        new Ledger(
            PRIMARY, LedgerSettings.DEFAULT, (key, all) -> all.stream().sorted().toList(), 0);
    newLedger.authorityUntil(1_000);
    newLedger.membersChanged(view, 0);
    newLedger.receive(
        SECONDARY.daemon(),
        new LedgerMessage.Records(SECONDARY, 1, List.of(), List.of(), false),
        0);
    assertThat(newLedger.decides(KEY, 1)).isFalse();

    newLedger.assumeNoEarlierRecords();

    assertThat(newLedger.decides(KEY, 1)).isTrue();
  }

  /**
   * Guards against a lost outcome: the primary receives the outcome from the entry daemon and is
   * killed before the secondary has it. If the entry daemon had its confirmation by then, it would
   * not resend the outcome, and the new primary would report the key as in progress until the
   * record expires.
   */
  @Test
  void confirmsOutcomeAfterSecondaryHasIt() {
    reserve(FIRST, "body", 0);
    markStart(FIRST);
    LedgerMessage finish = new LedgerMessage.Finish(KEY, FIRST, OutcomeClass.ANSWERED);

    assertThat(answers(ledger.receive(FIRST.entry().daemon(), finish, 1))).isEmpty();
    assertThat(exchange(finish, FIRST, 2)).containsExactly(Optional.empty());
  }

  /**
   * Guards against a wrong "in progress": a caller has its answer, and the primary of its key is
   * killed before it receives the outcome. The new primary has only a copy of an open record, and
   * the caller's next request with the key arrives before the entry daemon reports the outcome.
   */
  @Test
  void primaryWithOpenRecordWaitsForHolderReply() {
    LedgerRecord open = new LedgerRecord(KEY, "body", FIRST, LedgerState.RESERVED, 4, 500);
    ledger.receive(SECONDARY.daemon(), new LedgerMessage.Copy(open), 0);

    LedgerMessage retry = new LedgerMessage.Reserve(KEY, "body", OTHER);
    assertThat(answers(ledger.receive(OTHER.entry().daemon(), retry, 1))).isEmpty();
    LedgerMessage finish = new LedgerMessage.Finish(KEY, FIRST, OutcomeClass.ANSWERED);
    assertThat(answers(ledger.receive(FIRST.entry().daemon(), finish, 2)))
        .contains(Optional.of(ErrorKind.KEY_ALREADY_RAN));
  }

  /**
   * A key runs twice if a replica frees it that cannot know whether another one permitted a start.
   */
  @Nested
  class ReleasedByAReplica {

    private static final long COPY_TIMED_OUT = 900;

    private final LedgerRecord copy =
        new LedgerRecord(KEY, "body", FIRST, LedgerState.RESERVED, 4, 5_000);

    private List<LedgerState> copies(List<LedgerSend> sends) {
      return sends.stream()
          .filter(send -> send.message() instanceof LedgerMessage.Copy)
          .map(send -> ((LedgerMessage.Copy) send.message()).record().state())
          .toList();
    }

    /** A planned stop ends the authority while a reservation waits for its copy. */
    @Test
    void isNotCopiedByOneThatHasLeft() {
      ledger.receive(FIRST.entry().daemon(), new LedgerMessage.Reserve(KEY, "body", FIRST), 0);
      ledger.authorityUntil(Long.MIN_VALUE);

      assertThat(copies(ledger.tick(COPY_TIMED_OUT))).isEmpty();
    }

    /** The previous primary permitted the start; a late reservation waits for its copy here. */
    @Test
    void isNotFreedByOneThatTookOver() {
      ledger.receive(SECONDARY.daemon(), new LedgerMessage.Copy(copy), 0);
      ledger.receive(FIRST.entry().daemon(), new LedgerMessage.Reserve(KEY, "body", FIRST), 0);

      assertThat(copies(ledger.tick(COPY_TIMED_OUT))).doesNotContain(LedgerState.RELEASED);
    }

    /** The copy of a previous primary arrives after the start was permitted here. */
    @Test
    void doesNotReplaceTheRecordOfTheNextPrimary() {
      assertThat(reserve(FIRST, "body", 0)).containsExactly(Optional.empty());
      assertThat(markStart(FIRST)).containsExactly(Optional.empty());
      LedgerRecord released = copy.with(LedgerState.RELEASED, 90, 5_000);

      ledger.receive(SECONDARY.daemon(), new LedgerMessage.Copy(released), 1);

      assertThat(reserve(OTHER, "body", 2)).containsExactly(Optional.of(ErrorKind.KEY_IN_PROGRESS));
    }
  }
}
