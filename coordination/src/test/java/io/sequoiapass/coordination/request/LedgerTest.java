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
import org.junit.jupiter.api.Test;

class LedgerTest {

  private static final LedgerMember HOME = new LedgerMember(new DaemonId("home"), 1);
  private static final LedgerMember SECOND = new LedgerMember(new DaemonId("second"), 1);
  private static final IdempotencyKey KEY = new IdempotencyKey("slip-17");
  private static final Holder FIRST = holder("first");
  private static final Holder OTHER = holder("other");

  private final Ledger ledger =
      new Ledger(
          HOME, LedgerSettings.DEFAULT, (key, members) -> members.stream().sorted().toList(), 0);

  private static Holder holder(String entry) {
    return new Holder(new LedgerMember(new DaemonId(entry), 1), new OperationId("o1"));
  }

  @BeforeEach
  void homeThatKnows() {
    ledger.authorityUntil(1_000);
    ledger.membersChanged(new LedgerView(1, Set.of(HOME, SECOND)), 0);
    LedgerMessage reply = new LedgerMessage.Records(SECOND, 1, List.of(), List.of(), true);
    ledger.receive(SECOND.daemon(), reply, 0);
  }

  /**
   * Lets the second keep each copy and holders that are asked say that theirs is still open, and
   * returns what the entry is told.
   */
  private List<Optional<ErrorKind>> ask(LedgerMessage message, Holder holder, long now) {
    List<LedgerSend> sends = new ArrayList<>(ledger.receive(holder.entry().daemon(), message, now));
    for (LedgerSend send : List.copyOf(sends)) {
      if (send.message() instanceof LedgerMessage.Copy copy) {
        LedgerMessage kept = new LedgerMessage.Copied(SECOND, KEY, copy.record().sequence());
        sends.addAll(ledger.receive(SECOND.daemon(), kept, now));
      } else if (send.message() instanceof LedgerMessage.AskHolder asked) {
        LedgerMessage open = new LedgerMessage.StillOpen(KEY, asked.holder(), asked.asker());
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
    return ask(new LedgerMessage.Reserve(KEY, digest, holder), holder, now);
  }

  private List<Optional<ErrorKind>> markStart(Holder holder) {
    return ask(new LedgerMessage.MarkStart(KEY, holder), holder, 0);
  }

  /**
   * A caller sends a key through one entry, which is cut off before the start; the key is freed and
   * the caller's retry reserves it through another. The first entry is back and asks for its start:
   * a yes would run the work twice.
   */
  @Test
  void anEntryThatLostTheKeyMayNotStart() {
    assertThat(reserve(FIRST, "body", 0)).containsExactly(Optional.empty());
    ledger.entryLost(FIRST.entry(), 0);
    assertThat(reserve(OTHER, "body", 0)).containsExactly(Optional.empty());
    assertThat(markStart(FIRST)).containsExactly(Optional.of(ErrorKind.LEDGER_UNAVAILABLE));
    assertThat(markStart(OTHER)).containsExactly(Optional.empty());
  }

  @Test
  void aStartedKeyOfALostEntryIsUnknownAndNotFree() {
    reserve(FIRST, "body", 0);
    markStart(FIRST);
    ledger.entryLost(FIRST.entry(), 0);
    assertThat(reserve(OTHER, "body", 0))
        .containsExactly(Optional.of(ErrorKind.KEY_OUTCOME_UNKNOWN));
  }

  @Test
  void aKeyWithAnotherBodyIsToldApart() {
    reserve(FIRST, "body", 0);
    assertThat(reserve(OTHER, "body", 0)).containsExactly(Optional.of(ErrorKind.KEY_IN_PROGRESS));
    assertThat(reserve(OTHER, "else", 0)).containsExactly(Optional.of(ErrorKind.KEY_REUSED));
  }

  @Test
  void aHomeWhoseLeaseMayHaveLapsedRefuses() {
    assertThat(reserve(FIRST, "body", 1_000))
        .containsExactly(Optional.of(ErrorKind.LEDGER_UNAVAILABLE));
  }

  // A fresh fleet would refuse all keyed work for the retention, though nothing can have run
  // before.
  @Test
  void decidesAtOnceOnlyIfNothingWasBefore() {
    LedgerView alone = new LedgerView(1, Set.of(HOME, SECOND));
    Ledger fresh =
        new Ledger(HOME, LedgerSettings.DEFAULT, (key, all) -> all.stream().sorted().toList(), 0);
    fresh.authorityUntil(1_000);
    fresh.membersChanged(alone, 0);
    fresh.receive(
        SECOND.daemon(), new LedgerMessage.Records(SECOND, 1, List.of(), List.of(), false), 0);
    assertThat(fresh.decides(KEY, 1)).isFalse();

    fresh.nothingBefore();

    assertThat(fresh.decides(KEY, 1)).isTrue();
  }

  /**
   * A caller has its answer, the entry's word of it has reached the home, and the home is killed
   * before the second has it. Were the entry told "done" by then, nobody would send the outcome
   * again, and the new home would call the key in progress until the record expires.
   */
  @Test
  void anOutcomeIsConfirmedOnceTheSecondHasIt() {
    reserve(FIRST, "body", 0);
    markStart(FIRST);
    LedgerMessage finish = new LedgerMessage.Finish(KEY, FIRST, OutcomeClass.ANSWERED);

    assertThat(answers(ledger.receive(FIRST.entry().daemon(), finish, 1))).isEmpty();
    assertThat(ask(finish, FIRST, 2)).containsExactly(Optional.empty());
  }

  /**
   * A caller has its answer; the home of its key is killed before it hears of the outcome. The new
   * home has a copy of an open record only. The caller's next try with the key reaches it before
   * the entry does: "in progress" would be wrong, as the caller knows.
   */
  @Test
  void aHomeWithAnOpenRecordWaitsForTheHoldersWord() {
    LedgerRecord open = new LedgerRecord(KEY, "body", FIRST, LedgerState.RESERVED, 4, 500);
    ledger.receive(SECOND.daemon(), new LedgerMessage.Copy(open), 0);

    LedgerMessage again = new LedgerMessage.Reserve(KEY, "body", OTHER);
    assertThat(answers(ledger.receive(OTHER.entry().daemon(), again, 1))).isEmpty();
    LedgerMessage finish = new LedgerMessage.Finish(KEY, FIRST, OutcomeClass.ANSWERED);
    assertThat(answers(ledger.receive(FIRST.entry().daemon(), finish, 2)))
        .contains(Optional.of(ErrorKind.KEY_ALREADY_RAN));
  }
}
