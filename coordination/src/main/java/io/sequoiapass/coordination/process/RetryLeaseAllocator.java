package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.ServiceId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;

/**
 * Leases one data centre's part of the retry budgets' slack to daemons.
 *
 * <p>The load it answers: an outage that hits some daemons more than others, of which each has few
 * requests, so that an equal part of the slack would be less than one retry. What a daemon may
 * still use is never leased a second time: slack that a daemon has not released stays reserved
 * until its lease has ended and the window after it has passed, also if the daemon is lost. A new
 * coordinator leases nothing until that holds for all leases of the one before.
 *
 * <p>Not safe for use by several threads.
 *
 * @param <L> identifies the link of a daemon
 */
public final class RetryLeaseAllocator<L> {

  /** Share of the slack that nobody needs which daemons hold in advance; the rest is for needs. */
  private static final double ADVANCE_SHARE = 0.5;

  private final RetryTerms terms;
  private final int units;
  private final long startedAt;
  private final Map<ServiceId, Leases> services = new HashMap<>();

  /** What one daemon holds, or may still use. */
  private static final class Holder {
    private final boolean isHome;
    private int reserved;
    private int needed;
    private long claimedAt;
    private long reservedUntil = Long.MIN_VALUE;

    Holder(boolean isHome) {
      this.isHome = isHome;
    }

    boolean isActive(long now) {
      return now - claimedAt < RetryTerms.LEASE_MS;
    }

    int reserved(long now) {
      return now < reservedUntil ? reserved : 0;
    }
  }

  /** The leases of one service. */
  private final class Leases {
    private final Map<L, Holder> linked = new LinkedHashMap<>();
    private final List<Holder> lost = new ArrayList<>();

    private int reserved(long now) {
      return lostReserved(now)
          + linked.values().stream().mapToInt(holder -> holder.reserved(now)).sum();
    }

    private int lostReserved(long now) {
      lost.removeIf(holder -> now >= holder.reservedUntil);
      return lost.stream().mapToInt(holder -> holder.reserved).sum();
    }

    /**
     * Returns the part of a daemon: needs come first, and a share of the rest is held in advance.
     */
    private int fair(Holder of, long now) {
      int left = units - lostReserved(now);
      List<Holder> active =
          linked.values().stream().filter(holder -> holder.isActive(now)).toList();
      Map<Holder, Integer> needs = divide(left, active, one -> one.needed);
      left -= needs.values().stream().mapToInt(Integer::intValue).sum();
      Map<Holder, Integer> advances =
          divide((int) (ADVANCE_SHARE * left), active, one -> one.isHome ? units : 0);
      return needs.get(of) + advances.get(of);
    }

    /** Divides retries so that nobody gets less than another one unless it asks for less. */
    private Map<Holder, Integer> divide(
        int retries, List<Holder> holders, ToIntFunction<Holder> asked) {
      List<Holder> byAsked = new ArrayList<>(holders);
      byAsked.sort(Comparator.comparingInt(asked));
      Map<Holder, Integer> parts = new HashMap<>();
      int left = Math.max(0, retries);
      int others = byAsked.size();
      for (Holder holder : byAsked) {
        int part = Math.min(asked.applyAsInt(holder), left / others);
        parts.put(holder, part);
        left -= part;
        others--;
      }
      return parts;
    }
  }

  /**
   * Creates an allocator of a coordinator that replaces another one.
   *
   * @param terms the shared budgets
   * @param dataCentres number of data centres that share them
   * @param now the time, in milliseconds
   */
  public RetryLeaseAllocator(RetryTerms terms, int dataCentres, long now) {
    this.terms = terms;
    this.units = terms.leasedBy(dataCentres);
    this.startedAt = now;
  }

  /**
   * Returns an allocator of the first coordinator of a data centre, which need not wait.
   *
   * @param terms the shared budgets
   * @param dataCentres number of data centres that share them
   * @param now the time, in milliseconds
   */
  public static <L> RetryLeaseAllocator<L> withoutPredecessor(
      RetryTerms terms, int dataCentres, long now) {
    return new RetryLeaseAllocator<>(terms, dataCentres, now - terms.reservedMs());
  }

  /**
   * Handles a claim.
   *
   * @param link the daemon's link
   * @param isHome whether it runs in the data centre of this coordinator
   * @param service the service
   * @param claim the claim
   * @param mayGrant whether this coordinator is known to be the only one of its data centre
   * @param now the time, in milliseconds
   * @return the answer; empty while nothing may be leased
   */
  public Optional<RetryGrant> claim(
      L link, boolean isHome, ServiceId service, RetryClaim claim, boolean mayGrant, long now) {
    Leases leases = services.computeIfAbsent(service, any -> new Leases());
    Holder holder = leases.linked.computeIfAbsent(link, any -> new Holder(isHome));
    int kept = Math.min(claim.kept(), holder.reserved(now));
    holder.reserved = kept;
    holder.needed = claim.needed();
    holder.claimedAt = now;
    if (!mayGrant || !hasStarted(now)) {
      return Optional.empty();
    }
    int free = Math.max(0, units - leases.reserved(now));
    int fair = leases.fair(holder, now);
    holder.reserved = Math.max(kept, Math.min(fair, kept + free));
    holder.reservedUntil = now + terms.reservedMs();
    return Optional.of(new RetryGrant(claim.number(), holder.reserved, fair));
  }

  /**
   * Returns whether all leases of the coordinator before have ended.
   *
   * @param now the time, in milliseconds
   */
  public boolean hasStarted(long now) {
    return now - startedAt >= terms.reservedMs();
  }

  /** Handles the loss of a link; what the daemon holds stays reserved. */
  public void unlinked(L link) {
    services
        .values()
        .forEach(
            leases -> {
              Holder holder = leases.linked.remove(link);
              if (holder != null) {
                leases.lost.add(holder);
              }
            });
  }

  /** Returns the number of retries that may be leased for each service. */
  public int units() {
    return units;
  }

  /**
   * Returns the number of retries that are leased or still reserved, by service.
   *
   * @param now the time, in milliseconds
   */
  public Map<ServiceId, Integer> reserved(long now) {
    Map<ServiceId, Integer> reserved = new HashMap<>();
    services.forEach((service, leases) -> reserved.put(service, leases.reserved(now)));
    return reserved;
  }
}
