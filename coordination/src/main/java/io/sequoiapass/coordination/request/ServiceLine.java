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
 * Holds what waits for one service at one priority: by adapter in fair turn, and by deadline within
 * an adapter. Not safe for use by several threads.
 */
final class ServiceLine {

  private static final Comparator<AdmissionTicket> BY_DEADLINE =
      Comparator.comparingLong(AdmissionTicket::deadlineMillis)
          .thenComparing(AdmissionTicket::request);

  private final Map<String, TreeSet<AdmissionTicket>> flows = new TreeMap<>();
  private final FairShares<String> shares = new FairShares<>();
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

  /** Returns the ticket whose turn it is. */
  Optional<AdmissionTicket> head() {
    return shares.next().map(flow -> flows.get(flow).first());
  }

  /** Returns the tickets that meet a condition. */
  List<AdmissionTicket> matching(Predicate<AdmissionTicket> condition) {
    return flows.values().stream().flatMap(Set::stream).filter(condition).toList();
  }

  /** Charges the flow of a ticket that is served. */
  void charge(AdmissionTicket ticket) {
    shares.charge(ticket.flow(), ticket.cost());
  }

  /** Returns the ticket that can be missed most easily: the latest due of the longest flow. */
  Optional<AdmissionTicket> last() {
    return flows.entrySet().stream()
        .max(
            Comparator.<Map.Entry<String, TreeSet<AdmissionTicket>>>comparingInt(
                    entry -> entry.getValue().size())
                .thenComparing(Map.Entry::getKey))
        .map(entry -> entry.getValue().last());
  }
}
