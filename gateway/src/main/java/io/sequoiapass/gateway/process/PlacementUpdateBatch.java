package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.connection.LinkMessage.Placement;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Batches placement updates for daemons that have not subscribed to the adapter. A later update of
 * the same adapter at the same endpoint replaces an earlier one. Not safe for use by several
 * threads.
 */
final class PlacementUpdateBatch {

  private final Map<Key, Pending> pending = new LinkedHashMap<>();

  private record Key(EndpointId endpoint, AdapterName adapter) {}

  private record Pending(Placement placement, long at) {}

  /** Adds changes to the batch. */
  void add(List<Placement> changes, long now) {
    changes.forEach(
        placement ->
            pending.put(
                new Key(placement.endpoint(), placement.adapter()), new Pending(placement, now)));
  }

  /** Returns and clears the batch, with arrival times relative to now. */
  List<Placement> drain(long now) {
    List<Placement> placement = new ArrayList<>();
    pending.values().forEach(change -> placement.add(aged(change, now)));
    pending.clear();
    return placement;
  }

  private static Placement aged(Pending change, long now) {
    Placement placement = change.placement();
    if (placement.readyInMs() <= 0) {
      return placement;
    }
    long readyInMs = Math.max(0, placement.readyInMs() - (now - change.at()));
    return new Placement(placement.endpoint(), placement.adapter(), placement.version(), readyInMs);
  }

  /** Clears the batch. */
  void clear() {
    pending.clear();
  }
}
