package io.sequoiapass.gateway.process;

import io.sequoiapass.gateway.connection.LinkMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Changes of the endpoint list that a coordinator has not yet sent to the linked daemons.
 *
 * <p>Not safe for use by several threads.
 */
final class EndpointUpdateBatch {

  private final List<LinkMessage.ListedEndpoint> listed = new ArrayList<>();
  private final List<LinkMessage.GoneEndpoint> gone = new ArrayList<>();
  private long revision;

  /** Adds an entry that is new or has changed. */
  void add(LinkMessage.ListedEndpoint entry) {
    listed.add(entry);
    revision = Math.max(revision, entry.revision());
  }

  /** Adds an endpoint whose entry was removed. */
  void add(LinkMessage.GoneEndpoint endpoint) {
    gone.add(endpoint);
    revision = Math.max(revision, endpoint.revision());
  }

  /** Returns the changes as one message and forgets them; empty if there are none. */
  Optional<LinkMessage.Endpoints> drain() {
    if (listed.isEmpty() && gone.isEmpty()) {
      return Optional.empty();
    }
    LinkMessage.Endpoints changes = new LinkMessage.Endpoints(false, revision, listed, gone);
    clear();
    return Optional.of(changes);
  }

  /** Forgets all changes. */
  void clear() {
    listed.clear();
    gone.clear();
  }
}
