package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;

/** What becomes of a wish for an adapter. */
sealed interface Need {

  /**
   * It is there or comes.
   *
   * @param endpoint where
   */
  record Coming(EndpointId endpoint) implements Need {}

  /** It waits for a place at an engine; it is told like any other once it has one. */
  record Waiting() implements Need {}

  /**
   * Nothing can make way now.
   *
   * @param comeBackMs when to ask again, in milliseconds
   */
  record NoRoom(long comeBackMs) implements Need {}
}
