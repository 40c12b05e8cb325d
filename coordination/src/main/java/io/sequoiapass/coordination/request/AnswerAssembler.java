package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.RequestId;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeMap;

/**
 * Reassembles the frames of one answer in order and detects whether the answer is complete.
 *
 * <p>Accepts frames of one attempt at a time: two attempts may produce different texts, and a mix
 * would be the answer of neither. Not safe for use by several threads.
 */
final class AnswerAssembler {

  /** How a frame was handled. */
  enum FrameResult {
    /** In order; tokens may be ready. */
    ACCEPTED,
    /** Buffered behind a missing frame. */
    BUFFERED,
    /** Received before. */
    DUPLICATE,
    /** Belongs to another request or attempt. */
    UNEXPECTED,
    /** Names another adapter or version, or contradicts earlier frames. */
    MISMATCH,
    /** Too far ahead of a missing frame to be buffered. */
    OVERFLOW
  }

  private final RequestId request;
  private final Optional<AdapterVersion> expected;
  private final int maxBuffered;
  private final TreeMap<Integer, AnswerFrame.Token> buffered = new TreeMap<>();
  private int attempt;
  private int next;
  private OptionalInt length = OptionalInt.empty();

  AnswerAssembler(RequestId request, Optional<AdapterVersion> expected, int maxBuffered) {
    this.request = Objects.requireNonNull(request, "request");
    this.expected = Objects.requireNonNull(expected, "expected");
    this.maxBuffered = maxBuffered;
  }

  /**
   * Selects the attempt whose frames are accepted and discards buffered frames of the previous one.
   */
  void selectAttempt(int newAttempt) {
    attempt = newAttempt;
    buffered.clear();
    length = OptionalInt.empty();
  }

  /**
   * Returns the number of tokens delivered, which is the index at which another attempt resumes.
   */
  int nextIndex() {
    return next;
  }

  /** Returns whether a frame is missing before one that was received. */
  boolean hasGap() {
    return !buffered.isEmpty() || (length.isPresent() && length.getAsInt() > next);
  }

  /** Returns whether all tokens were delivered and the end was received. */
  boolean isComplete() {
    return length.isPresent() && length.getAsInt() == next;
  }

  FrameResult accept(AnswerFrame frame) {
    if (!frame.request().equals(request) || frame.attempt() != attempt) {
      return FrameResult.UNEXPECTED;
    }
    // An engine that restarted without its adapters, or a late load, may answer with another
    // adapter; the caller could not detect that.
    if (!frame.ranOn().equals(expected)) {
      return FrameResult.MISMATCH;
    }
    return frame instanceof AnswerFrame.Token token
        ? acceptToken(token)
        : acceptEnd((AnswerFrame.Finished) frame);
  }

  private FrameResult acceptToken(AnswerFrame.Token token) {
    if (token.index() < next || buffered.containsKey(token.index())) {
      return FrameResult.DUPLICATE;
    }
    if (length.isPresent() && token.index() >= length.getAsInt()) {
      return FrameResult.MISMATCH;
    }
    if (token.index() - next > maxBuffered) {
      return FrameResult.OVERFLOW;
    }
    buffered.put(token.index(), token);
    return token.index() == next ? FrameResult.ACCEPTED : FrameResult.BUFFERED;
  }

  private FrameResult acceptEnd(AnswerFrame.Finished end) {
    if (length.isPresent()) {
      return length.getAsInt() == end.tokens() ? FrameResult.DUPLICATE : FrameResult.MISMATCH;
    }
    int seen = buffered.isEmpty() ? next : buffered.lastKey() + 1;
    if (end.tokens() < seen) {
      return FrameResult.MISMATCH;
    }
    length = OptionalInt.of(end.tokens());
    return hasGap() ? FrameResult.BUFFERED : FrameResult.ACCEPTED;
  }

  /** Removes and returns the buffered tokens that are next in order. */
  List<AnswerFrame.Token> drain() {
    List<AnswerFrame.Token> ready = new ArrayList<>();
    while (buffered.containsKey(next)) {
      ready.add(buffered.remove(next));
      next++;
    }
    return ready;
  }
}
