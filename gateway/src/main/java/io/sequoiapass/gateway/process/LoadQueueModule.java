package io.sequoiapass.gateway.process;

import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.connection.RoomMessage;

/** Connects the queue for adapter slots to the daemons and to operators. */
final class LoadQueueModule implements CoordinatorModule {

  private final LoadQueue queue;

  /**
   * Creates a module.
   *
   * @param queue the loads that wait for a slot
   */
  LoadQueueModule(LoadQueue queue) {
    this.queue = queue;
  }

  @Override
  public void activated(long now) {
    queue.clear();
  }

  @Override
  public void receive(LinkedDaemon from, LinkMessage message, long now) {
    if (message instanceof RoomMessage.LoadWithdrawn withdrawn) {
      queue.withdraw(withdrawn.adapter(), from, withdrawn.lastRequest());
    }
  }
}
