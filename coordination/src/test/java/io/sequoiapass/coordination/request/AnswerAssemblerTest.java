package io.sequoiapass.coordination.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.request.AnswerAssembler.FrameResult;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against corrupted streams: frames arrive late, duplicated, out of order or not at all, as
 * after the failure of an owner. The caller must receive each token once and in order, and never a
 * partial answer as a complete one.
 */
class AnswerAssemblerTest {

  private final AnswerAssembler answer =
      new AnswerAssembler(AttemptSimulation.ID, AttemptSimulation.NOTES, 2);

  @BeforeEach
  void selectFirstAttempt() {
    answer.selectAttempt(1);
  }

  private FrameResult token(int attempt, int index) {
    return answer.accept(
        new AnswerFrame.Token(AttemptSimulation.ID, attempt, AttemptSimulation.NOTES, index, "t"));
  }

  private FrameResult end(int tokens) {
    return answer.accept(
        new AnswerFrame.Finished(AttemptSimulation.ID, 1, AttemptSimulation.NOTES, tokens));
  }

  private List<Integer> drained() {
    return answer.drain().stream().map(AnswerFrame.Token::index).toList();
  }

  @Test
  void deliversReorderedTokensInOrder() {
    assertThat(token(1, 1)).isEqualTo(FrameResult.BUFFERED);
    assertThat(drained()).isEmpty();
    assertThat(token(1, 0)).isEqualTo(FrameResult.ACCEPTED);
    assertThat(drained()).containsExactly(0, 1);
  }

  @Test
  void duplicateTokenIsNeitherDeliveredNorGap() {
    token(1, 0);
    drained();
    assertThat(token(1, 0)).isEqualTo(FrameResult.DUPLICATE);
    assertThat(drained()).isEmpty();
    assertThat(answer.hasGap()).isFalse();
  }

  @Test
  void endWithoutLastTokenIsIncomplete() {
    IntStream.range(0, 3).forEach(i -> assertThat(token(1, i)).isNotEqualTo(FrameResult.DUPLICATE));
    assertThat(drained()).hasSize(3);
    assertThat(end(4)).isEqualTo(FrameResult.BUFFERED);
    assertThat(answer.isComplete()).isFalse();
  }

  @Test
  void ignoresLateTokenOfEarlierAttempt() {
    token(1, 0);
    drained();
    answer.selectAttempt(2);
    assertThat(token(1, 1)).isEqualTo(FrameResult.UNEXPECTED);
    assertThat(token(2, 1)).isEqualTo(FrameResult.ACCEPTED);
  }

  @Test
  void endBeforeReceivedTokenIsMismatch() {
    token(1, 0);
    token(1, 1);
    assertThat(end(1)).isEqualTo(FrameResult.MISMATCH);
    assertThat(token(1, 9)).as("memory stays bounded").isEqualTo(FrameResult.OVERFLOW);
  }
}
