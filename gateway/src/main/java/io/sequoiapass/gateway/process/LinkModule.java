package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.gateway.connection.LinkMessage;
import java.util.Optional;

/**
 * A part of a daemon that exchanges messages of its own with the coordinators.
 *
 * <p>Implementations are safe for use by several threads and must not block.
 */
interface LinkModule {

  /**
   * Called for each message that concerns no built-in part of the link.
   *
   * @param coordinator the data centre of the coordinator that sent it
   * @param message the message
   * @param now the time, in milliseconds
   */
  default void receive(DataCentreId coordinator, LinkMessage message, long now) {}

  /** Returns the message to send with a report to a coordinator; empty if there is none. */
  default Optional<LinkMessage> report(DataCentreId coordinator, long now) {
    return Optional.empty();
  }

  /** Called when the link to a coordinator is lost. */
  default void lost(DataCentreId coordinator, long now) {}
}
