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

  /**
   * Nothing can make way now.
   *
   * @param comeBackMs when to ask again, in milliseconds
   */
  record NoRoom(long comeBackMs) implements Need {}
}
