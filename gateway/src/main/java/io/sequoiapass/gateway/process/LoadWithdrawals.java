package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.connection.RoomMessage;
import io.sequoiapass.gateway.request.QueuePlace;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;

/**
 * Withdraws queued loads for which no request of this daemon waits any more.
 *
 * <p>Answers a load in which callers leave while their loads are queued, so that the coordinator
 * gives the slots to others. The number of the last load request goes with a withdrawal: one that
 * is sent concurrently for the same adapter stays queued, whichever arrives first. Safe for use by
 * several threads.
 */
final class LoadWithdrawals implements LinkModule {

  private final Map<Key, Set<Long>> waiting = new HashMap<>();
  private long lastNumber;
  private volatile PromptGate.Links links = (dataCentre, message) -> false;
  private volatile Executor executor = Runnable::run;

  private record Key(DataCentreId dataCentre, AdapterName adapter) {}

  /** The place of one request. */
  final class Place implements QueuePlace {

    private final Key key;
    private final long number;

    private Place(Key key, long number) {
      this.key = key;
      this.number = number;
    }

    /** Returns the number of the load request. */
    long number() {
      return number;
    }

    @Override
    public void settled() {
      remove(this);
    }

    @Override
    public void release() {
      long last;
      synchronized (LoadWithdrawals.this) {
        if (!remove(this) || waiting.containsKey(key)) {
          return;
        }
        last = lastNumber;
      }
      LinkMessage withdrawn = new RoomMessage.LoadWithdrawn(key.adapter(), last);
      // The caller may hold locks that a send which fails needs.
      executor.execute(() -> links.send(key.dataCentre(), withdrawn));
    }
  }

  /**
   * Sets how messages are sent.
   *
   * @param newLinks the links to the coordinators
   * @param newExecutor runs sends that must not happen under a lock
   */
  void use(PromptGate.Links newLinks, Executor newExecutor) {
    links = newLinks;
    executor = newExecutor;
  }

  /** Returns the place of a request whose load request is about to be sent. */
  synchronized Place enqueue(DataCentreId dataCentre, AdapterName adapter) {
    Place place = new Place(new Key(dataCentre, adapter), ++lastNumber);
    waiting.computeIfAbsent(place.key, any -> new HashSet<>()).add(place.number);
    return place;
  }

  private synchronized boolean remove(Place place) {
    Set<Long> numbers = waiting.getOrDefault(place.key, Set.of());
    boolean removed = numbers.contains(place.number) && numbers.remove(place.number);
    if (numbers.isEmpty()) {
      waiting.remove(place.key);
    }
    return removed;
  }

  @Override
  public synchronized void lost(DataCentreId coordinator, long now) {
    waiting.keySet().removeIf(key -> key.dataCentre().equals(coordinator));
  }
}
