package io.sequoiapass.gateway.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The attempts of one request that may still answer: the latest one, and beside it an earlier one
 * that is silent. Whichever begins to answer first is kept.
 *
 * <pre>{@code
 * open.add(first);
 * open.addBeside(second);                   // the first one is silent
 * open.select(first).ifPresent(this::end);  // it continues, so the second one ends
 * }</pre>
 *
 * <p>Not safe for use by several threads: used under the request's lock.
 */
final class OpenAttempts {

  private Optional<RelayAttempt> latest = Optional.empty();
  private Optional<RelayAttempt> silent = Optional.empty();

  /** Adds the only attempt that may answer. */
  void add(RelayAttempt attempt) {
    latest = Optional.of(attempt);
    silent = Optional.empty();
  }

  /**
   * Adds an attempt beside the latest one; returns one that was silent before, which has to end.
   */
  Optional<RelayAttempt> addBeside(RelayAttempt attempt) {
    Optional<RelayAttempt> before = silent;
    silent = latest;
    latest = Optional.of(attempt);
    return before;
  }

  /** Returns the latest attempt, which may have ended; empty if there was none. */
  Optional<RelayAttempt> latest() {
    return latest;
  }

  /** Returns all attempts that may answer, and the latest one in any case. */
  List<RelayAttempt> all() {
    List<RelayAttempt> all = new ArrayList<>();
    latest.ifPresent(all::add);
    silent.ifPresent(all::add);
    return all;
  }

  /** Returns whether an answer of an attempt still matters. */
  boolean contains(RelayAttempt attempt) {
    return all().contains(attempt);
  }

  /** Keeps the attempt that answers; returns the other one, which has to end. */
  Optional<RelayAttempt> select(RelayAttempt answering) {
    Optional<RelayAttempt> other =
        silent.filter(one -> one == answering).isPresent() ? latest : silent;
    add(answering);
    return other;
  }

  /**
   * Removes an attempt that has ended without an answer; returns the other one, which may still
   * answer and is the latest now.
   */
  Optional<RelayAttempt> remove(RelayAttempt ended) {
    Optional<RelayAttempt> other = silent;
    if (silent.isPresent()) {
      add(latest.filter(one -> one != ended).orElseGet(silent::get));
    }
    return other.isPresent() ? latest : Optional.empty();
  }
}
