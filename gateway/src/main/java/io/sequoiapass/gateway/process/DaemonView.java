package io.sequoiapass.gateway.process;

import io.sequoiapass.gateway.connection.LinkMessage;
import java.util.List;

/** What the daemon of a coordinator knows, for daemons that rely on it; must not block. */
interface DaemonView {

  /** Knows nothing. */
  DaemonView NONE =
      new DaemonView() {
        @Override
        public LinkMessage.StoreView of(StoreFreshness.Topic topic) {
          return LinkMessage.StoreView.NONE;
        }

        @Override
        public List<LinkMessage.CoordinatorAddress> coordinators() {
          return List.of();
        }
      };

  /** Returns its view of a topic of the store. */
  LinkMessage.StoreView of(StoreFreshness.Topic topic);

  /** Returns the coordinators of other data centres that are connected to it. */
  List<LinkMessage.CoordinatorAddress> coordinators();
}
