package io.sequoiapass.daemon.process.placement;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.RequestId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The queued requests of one adapter version, most urgent first. */
final class WaitingGroup {

  /** One queued request. */
  record Queued(PlacementRequest request, long sinceMs) {}

  private static final Comparator<Queued> ORDER =
      Comparator.comparing((Queued queued) -> queued.request().urgency())
          .thenComparingLong(queued -> queued.request().deadlineMs());

  final AdapterVersion adapter;
  final ModelId model;
  final List<Queued> requests = new ArrayList<>();

  WaitingGroup(PlacementRequest first) {
    this.adapter = first.adapter();
    this.model = first.model();
  }

  void add(long nowMs, PlacementRequest request) {
    requests.add(new Queued(request, nowMs));
    requests.sort(ORDER);
  }

  boolean remove(RequestId id) {
    return requests.removeIf(queued -> queued.request().id().equals(id));
  }

  /** Returns the urgency of the most urgent request. */
  Urgency urgency() {
    return requests.get(0).request().urgency();
  }

  /** Returns the endpoint that the router chose for the most urgent request. */
  EndpointId preferred() {
    return requests.get(0).request().preferred();
  }

  long oldestMs() {
    return requests.stream().mapToLong(Queued::sinceMs).min().orElseThrow();
  }

  long latestDeadlineMs() {
    return requests.stream().mapToLong(q -> q.request().deadlineMs()).max().orElseThrow();
  }

  /**
   * Returns the value of a load: the sum over the waiting requests of their urgency, increased with
   * their waiting time.
   */
  double loadValue(long nowMs, long agingMs) {
    double value = 0;
    for (Queued queued : requests) {
      value +=
          weight(queued.request().urgency()) * (1 + (nowMs - queued.sinceMs()) / (double) agingMs);
    }
    return value;
  }

  private static double weight(Urgency urgency) {
    return switch (urgency) {
      case DEADLINE -> 4;
      case INTERACTIVE -> 2;
      case BATCH -> 1;
    };
  }
}
