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
 * Puts the frames of one answer in order, and tells a whole answer from any other.
 *
 * <p>Frames of one attempt are taken at a time: two attempts may word their answers differently, so
 * a mix of both would be nobody's answer. Not safe for use by several threads.
 */
final class AnswerAssembler {

  /** Tells what a frame was worth. */
  enum Verdict {
    /** In order; tokens may be ready. */
    TAKEN,
    /** Ahead of a missing one. */
    HELD,
    /** Seen before. */
    DOUBLED,
    /** Of another request or attempt. */
    STRAY,
    /** Of another adapter or version, or contradicting itself. */
    MISMATCH,
    /** Too far ahead of a missing one. */
    OVERFLOW
  }

  private final RequestId request;
  private final Optional<AdapterVersion> expected;
  private final int maxHeld;
  private final TreeMap<Integer, AnswerFrame.Token> held = new TreeMap<>();
  private int attempt;
  private int next;
  private OptionalInt length = OptionalInt.empty();

  AnswerAssembler(RequestId request, Optional<AdapterVersion> expected, int maxHeld) {
    this.request = Objects.requireNonNull(request, "request");
    this.expected = Objects.requireNonNull(expected, "expected");
    this.maxHeld = maxHeld;
  }

  /** Takes frames of this attempt from now on, and forgets what the last one left unfinished. */
  void source(int newAttempt) {
    attempt = newAttempt;
    held.clear();
    length = OptionalInt.empty();
  }

  /** Returns the number of tokens handed on: where a further attempt goes on. */
  int next() {
    return next;
  }

  /** Returns whether something is missing before a frame that is here. */
  boolean hasGap() {
    return !held.isEmpty() || (length.isPresent() && length.getAsInt() > next);
  }

  /** Returns whether every token was handed on and the end is here. */
  boolean isWhole() {
    return length.isPresent() && length.getAsInt() == next;
  }

  Verdict accept(AnswerFrame frame) {
    if (!frame.request().equals(request) || frame.attempt() != attempt) {
      return Verdict.STRAY;
    }
    // An engine that restarted empty, or a late load, may answer on another adapter; nothing else
    // would show it to the caller.
    if (!frame.ranOn().equals(expected)) {
      return Verdict.MISMATCH;
    }
    return frame instanceof AnswerFrame.Token token
        ? acceptToken(token)
        : acceptEnd((AnswerFrame.Finished) frame);
  }

  private Verdict acceptToken(AnswerFrame.Token token) {
    if (token.index() < next || held.containsKey(token.index())) {
      return Verdict.DOUBLED;
    }
    if (length.isPresent() && token.index() >= length.getAsInt()) {
      return Verdict.MISMATCH;
    }
    if (token.index() - next > maxHeld) {
      return Verdict.OVERFLOW;
    }
    held.put(token.index(), token);
    return token.index() == next ? Verdict.TAKEN : Verdict.HELD;
  }

  private Verdict acceptEnd(AnswerFrame.Finished end) {
    if (length.isPresent()) {
      return length.getAsInt() == end.tokens() ? Verdict.DOUBLED : Verdict.MISMATCH;
    }
    int seen = held.isEmpty() ? next : held.lastKey() + 1;
    if (end.tokens() < seen) {
      return Verdict.MISMATCH;
    }
    length = OptionalInt.of(end.tokens());
    return hasGap() ? Verdict.HELD : Verdict.TAKEN;
  }

  /** Removes and returns the tokens that are next in order. */
  List<AnswerFrame.Token> drain() {
    List<AnswerFrame.Token> ready = new ArrayList<>();
    while (held.containsKey(next)) {
      ready.add(held.remove(next));
      next++;
    }
    return ready;
  }
}
