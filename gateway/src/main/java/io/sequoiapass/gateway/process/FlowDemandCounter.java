package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.connection.RoomMessage;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Counts the requests of this daemon's callers by service and flow, and reports them to all
 * coordinators.
 *
 * <p>A report lists the flows that ask for most; the others count for their priority as a whole.
 * Reports are more frequent and list more flows while any service is short of room. Safe for use by
 * several threads.
 */
final class FlowDemandCounter implements LinkModule {

  /** Largest number of flows in a report while nothing is short. */
  static final int USUAL_FLOWS = 6;

  /** Largest number of flows in a report during a shortage. */
  private static final int MAX_FLOWS = 8;

  /** Least time between two reports to a coordinator while nothing is short, in milliseconds. */
  static final long USUAL_INTERVAL_MS = 600;

  /** Largest number of flows that are counted between two reports. */
  private static final int MAX_COUNTED = 256;

  private final BooleanSupplier anyShort;
  private final Map<DataCentreId, Unreported> unreported = new HashMap<>();
  private final Map<ServiceId, Integer> inFlight = new HashMap<>();

  /**
   * Requests that are counted together.
   *
   * @param service their service
   * @param flow their priority and workspace
   * @param adapterHeld whether an endpoint held or loaded their adapter when they arrived
   */
  record Key(ServiceId service, Flow flow, boolean adapterHeld) {

    private Key wholePriority() {
      return new Key(service, Flow.of(flow.priority(), Optional.empty()), adapterHeld);
    }
  }

  /**
   * What a coordinator does not know yet.
   *
   * @param counts the requests
   * @param since when the last report was sent, in milliseconds
   */
  private record Unreported(Map<Key, Counts> counts, long since) {}

  private static final class Counts {
    private int asked;
    private int refused;
    private int served;

    private void add(Counts other) {
      asked += other.asked;
      refused += other.refused;
      served += other.served;
    }

    private RoomMessage.FlowDemand demand(Key key) {
      return new RoomMessage.FlowDemand(
          key.service(), key.flow(), key.adapterHeld(), asked, refused, served);
    }
  }

  private enum Event {
    ADMITTED {
      @Override
      void count(Counts counts) {
        counts.asked++;
      }
    },
    REFUSED {
      @Override
      void count(Counts counts) {
        counts.asked++;
        counts.refused++;
      }
    },
    SERVED {
      @Override
      void count(Counts counts) {
        counts.served++;
      }
    };

    abstract void count(Counts counts);
  }

  /**
   * Creates a counter without requests.
   *
   * @param anyShort whether any service is short of room
   */
  FlowDemandCounter(BooleanSupplier anyShort) {
    this.anyShort = anyShort;
  }

  /** Counts a request that was refused because its service is short of room. */
  synchronized void refused(Key key) {
    count(key, Event.REFUSED);
  }

  /** Counts a request that was admitted; {@link #ended} must follow. */
  synchronized void admitted(Key key) {
    count(key, Event.ADMITTED);
    inFlight.merge(key.service(), 1, Integer::sum);
  }

  /**
   * Counts the end of a request that was admitted.
   *
   * @param key what it counts for
   * @param served whether an endpoint ran it
   */
  synchronized void ended(Key key, boolean served) {
    inFlight.computeIfPresent(key.service(), (service, count) -> count > 1 ? count - 1 : null);
    if (served) {
      count(key, Event.SERVED);
    }
  }

  private void count(Key key, Event event) {
    for (Unreported to : unreported.values()) {
      Map<Key, Counts> counts = to.counts();
      boolean isFull = counts.size() >= MAX_COUNTED && !counts.containsKey(key);
      event.count(counts.computeIfAbsent(isFull ? key.wholePriority() : key, any -> new Counts()));
    }
  }

  @Override
  public synchronized Optional<LinkMessage> report(DataCentreId coordinator, long now) {
    Unreported due = unreported.get(coordinator);
    boolean isShort = anyShort.getAsBoolean();
    if (due != null && !isShort && now - due.since() < USUAL_INTERVAL_MS) {
      return Optional.empty();
    }
    unreported.put(coordinator, new Unreported(new HashMap<>(), now));
    if (due == null || (due.counts().isEmpty() && inFlight.isEmpty())) {
      return Optional.empty();
    }
    List<RoomMessage.FlowDemand> flows = new ArrayList<>();
    largest(due.counts(), isShort ? MAX_FLOWS : USUAL_FLOWS)
        .forEach((key, of) -> flows.add(of.demand(key)));
    List<RoomMessage.InFlight> running = new ArrayList<>();
    inFlight.forEach((service, count) -> running.add(new RoomMessage.InFlight(service, count)));
    return Optional.of(new RoomMessage.DemandReport(flows, running));
  }

  /** Returns the flows that ask for most, and the rest by priority. */
  private static Map<Key, Counts> largest(Map<Key, Counts> counts, int most) {
    List<Key> descending = new ArrayList<>(counts.keySet());
    descending.sort(Comparator.comparing((Key key) -> -counts.get(key).asked));
    Map<Key, Counts> reported = new HashMap<>();
    for (int i = 0; i < descending.size(); i++) {
      Key key = descending.get(i);
      reported
          .computeIfAbsent(i < most ? key : key.wholePriority(), any -> new Counts())
          .add(counts.get(key));
    }
    return reported;
  }

  @Override
  public synchronized void lost(DataCentreId coordinator, long now) {
    unreported.remove(coordinator);
  }
}
