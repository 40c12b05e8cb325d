package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.connection.LinkMessage.Placement;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Gathers news of adapters for those who need not hear it at once; of several about the same
 * adapter at the same endpoint only the last is told. Not safe for use by several threads.
 */
final class PlacementBulletin {

  private final Map<Place, Noted> notes = new LinkedHashMap<>();

  private record Place(EndpointId endpoint, AdapterName adapter) {}

  private record Noted(Placement placement, long at) {}

  /** Takes in news. */
  void add(List<Placement> news, long now) {
    news.forEach(
        placement ->
            notes.put(
                new Place(placement.endpoint(), placement.adapter()), new Noted(placement, now)));
  }

  /** Returns the news, as true now, and forgets it. */
  List<Placement> take(long now) {
    List<Placement> told = new ArrayList<>();
    notes.values().forEach(noted -> told.add(aged(noted, now)));
    notes.clear();
    return told;
  }

  private static Placement aged(Noted noted, long now) {
    Placement told = noted.placement();
    if (told.readyInMs() <= 0) {
      return told;
    }
    long readyInMs = Math.max(0, told.readyInMs() - (now - noted.at()));
    return new Placement(told.endpoint(), told.adapter(), told.version(), readyInMs);
  }

  /** Forgets all. */
  void clear() {
    notes.clear();
  }
}
