package io.sequoiapass.gateway.process;

import io.sequoiapass.daemon.connection.FrameChannel;
import io.sequoiapass.gateway.connection.LinkMessage;
import java.util.Map;

/**
 * A part of a coordinator with state and messages of its own.
 *
 * <p>Implementations need not be safe for use by several threads: all methods are called under the
 * lock of the {@link Coordinator}, and must not block.
 */
interface CoordinatorModule {

  /** Called when a term of the coordinator begins; state of an earlier term is outdated. */
  default void activated(long now) {}

  /**
   * The same for modules that have to know about earlier terms.
   *
   * @param isFirst whether the data centre has had no coordinator before, on any host
   * @param now the time, in milliseconds
   */
  default void activated(boolean isFirst, long now) {
    activated(now);
  }

  /**
   * Called for each message.
   *
   * @param from the sender, whose {@link LinkedDaemon#daemon} is null before its introduction
   * @param message the message, which concerns other modules in most cases
   * @param now the time, in milliseconds
   */
  default void receive(LinkedDaemon from, LinkMessage message, long now) {}

  /**
   * Called when a link is lost.
   *
   * @param daemon the daemon on this link; the same daemon may be linked anew already
   * @param now the time, in milliseconds
   */
  default void unlinked(LinkedDaemon daemon, long now) {}

  /** Queues the messages that are due in a round of updates. */
  default void queue(Map<FrameChannel, LinkedDaemon> links, long now) {}
}
