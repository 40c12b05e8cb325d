package io.sequoiapass.coordination.request;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Waiting requests of one service at one priority: fair queueing across adapters, earliest deadline
 * first within an adapter. Not safe for use by several threads.
 */
final class ServiceQueue {

  private static final Comparator<AdmissionTicket> BY_DEADLINE =
      Comparator.comparingLong(AdmissionTicket::deadlineMillis)
          .thenComparing(AdmissionTicket::request);

  private final Map<String, TreeSet<AdmissionTicket>> flows = new TreeMap<>();
  private final FairScheduler<String> shares = new FairScheduler<>();
  private int size;

  int size() {
    return size;
  }

  int flowSize(String flow) {
    TreeSet<AdmissionTicket> tickets = flows.get(flow);
    return tickets == null ? 0 : tickets.size();
  }

  boolean add(AdmissionTicket ticket) {
    boolean added =
        flows.computeIfAbsent(ticket.flow(), f -> new TreeSet<>(BY_DEADLINE)).add(ticket);
    if (added) {
      size++;
      shares.activate(ticket.flow());
    }
    return added;
  }

  boolean remove(AdmissionTicket ticket) {
    TreeSet<AdmissionTicket> tickets = flows.get(ticket.flow());
    if (tickets == null || !tickets.remove(ticket)) {
      return false;
    }
    size--;
    if (tickets.isEmpty()) {
      flows.remove(ticket.flow());
      shares.deactivate(ticket.flow());
    }
    return true;
  }

  /** Returns the next ticket to serve. */
  Optional<AdmissionTicket> head() {
    return shares.next().map(flow -> flows.get(flow).first());
  }

  /** Returns the tickets that match a condition. */
  List<AdmissionTicket> matching(Predicate<AdmissionTicket> condition) {
    return flows.values().stream().flatMap(Set::stream).filter(condition).toList();
  }

  /** Charges the flow of a ticket that is being served. */
  void charge(AdmissionTicket ticket) {
    shares.charge(ticket.flow(), ticket.cost());
  }

  /** Returns the first ticket to shed: the latest deadline of the longest flow. */
  Optional<AdmissionTicket> shedCandidate() {
    return flows.entrySet().stream()
        .max(
            Comparator.<Map.Entry<String, TreeSet<AdmissionTicket>>>comparingInt(
                    entry -> entry.getValue().size())
                .thenComparing(Map.Entry::getKey))
        .map(entry -> entry.getValue().last());
  }
}
