package io.sequoiapass.coordination.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.request.AnswerAssembler.Verdict;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A caller reads a stream whose frames come late, doubled, out of order or not at all, as after an
 * owner's death. It must see each token once and in order, and never a part as the whole.
 */
class AnswerAssemblerTest {

  private final AnswerAssembler answer =
      new AnswerAssembler(AttemptWorld.ID, AttemptWorld.NOTES, 2);

  @BeforeEach
  void fromTheFirstAttempt() {
    answer.source(1);
  }

  private Verdict token(int attempt, int index) {
    return answer.accept(
        new AnswerFrame.Token(AttemptWorld.ID, attempt, AttemptWorld.NOTES, index, "t"));
  }

  private Verdict end(int tokens) {
    return answer.accept(new AnswerFrame.Finished(AttemptWorld.ID, 1, AttemptWorld.NOTES, tokens));
  }

  private List<Integer> drained() {
    return answer.drain().stream().map(AnswerFrame.Token::index).toList();
  }

  @Test
  void reorderedTokensAreHandedOnInOrder() {
    assertThat(token(1, 1)).isEqualTo(Verdict.HELD);
    assertThat(drained()).isEmpty();
    assertThat(token(1, 0)).isEqualTo(Verdict.TAKEN);
    assertThat(drained()).containsExactly(0, 1);
  }

  @Test
  void aDoubledTokenIsNeitherHandedOnNorAGap() {
    token(1, 0);
    drained();
    assertThat(token(1, 0)).isEqualTo(Verdict.DOUBLED);
    assertThat(drained()).isEmpty();
    assertThat(answer.hasGap()).isFalse();
  }

  @Test
  void anEndWithoutItsLastTokenIsNotTheWhole() {
    IntStream.range(0, 3).forEach(i -> assertThat(token(1, i)).isNotEqualTo(Verdict.DOUBLED));
    assertThat(drained()).hasSize(3);
    assertThat(end(4)).isEqualTo(Verdict.HELD);
    assertThat(answer.isWhole()).isFalse();
  }

  @Test
  void aLateTokenOfAnEarlierAttemptIsNotMixedIn() {
    token(1, 0);
    drained();
    answer.source(2);
    assertThat(token(1, 1)).isEqualTo(Verdict.STRAY);
    assertThat(token(2, 1)).isEqualTo(Verdict.TAKEN);
  }

  @Test
  void anEndBeforeATokenThatWasSeenIsAMismatch() {
    token(1, 0);
    token(1, 1);
    assertThat(end(1)).isEqualTo(Verdict.MISMATCH);
    assertThat(token(1, 9)).as("memory stays bounded").isEqualTo(Verdict.OVERFLOW);
  }
}
