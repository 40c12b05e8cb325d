package io.sequoiapass.gateway.process;

import io.sequoiapass.gateway.connection.LinkMessage;
import java.util.List;

/**
 * What this daemon knows of the store and of coordinators.
 *
 * @param feeds its feeds of the store
 * @param node its links to coordinators
 */
record OwnView(StoreFeeds feeds, CoordinationNode node) implements DaemonView {

  @Override
  public LinkMessage.StoreView of(StoreFreshness.Topic topic) {
    return feeds.view(topic);
  }

  @Override
  public List<LinkMessage.CoordinatorAddress> coordinators() {
    return node.otherCoordinators();
  }
}
