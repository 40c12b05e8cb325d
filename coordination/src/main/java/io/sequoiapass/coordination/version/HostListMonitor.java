package io.sequoiapass.coordination.version;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.HostId;
import io.sequoiapass.coordination.process.HostHint;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Derives hints from the platform's host list, and keeps the newest hints among its own and those
 * of peers.
 *
 * <pre>{@code
 * HostListMonitor monitor = HostListMonitor.create(self);
 * monitor.read(now, listed, hostsInUse).ifPresent(hints -> push(hints));
 * boolean changed = monitor.received(pushed);
 * }</pre>
 *
 * <p>The list lags, and two readers may see different states of it. A host is therefore treated as
 * leaving immediately, but as live again only after this daemon has read it as live for {@link
 * #RECOVERY_DELAY_MILLIS}: withholding work from a live endpoint costs little throughput, whereas
 * work sent to a leaving one is cut off. Not thread-safe; confined to one shard.
 */
public final class HostListMonitor {

  /**
   * Longer than two read intervals, so that one reading of a flapping list does not restore a host.
   */
  public static final long RECOVERY_DELAY_MILLIS = 2_500;

  /** A list that loses more than this share of its hosts in one reading is treated as faulty. */
  private static final double MAX_PLAUSIBLE_LOSS_SHARE = 0.5;

  private final DaemonId self;
  private final Set<HostId> previouslyListed = new HashSet<>();
  private final Map<HostId, Long> liveSince = new HashMap<>();
  private HostHints hints = HostHints.NONE;

  private HostListMonitor(DaemonId self) {
    this.self = Objects.requireNonNull(self, "self");
  }

  /**
   * Returns a monitor without hints.
   *
   * @param self this daemon
   */
  public static HostListMonitor create(DaemonId self) {
    return new HostListMonitor(self);
  }

  /** Returns the newest hints. */
  public HostHints hints() {
    return hints;
  }

  /**
   * Processes a reading of the list.
   *
   * @param now the time
   * @param listed the hosts of the data centre in the list, live or leaving
   * @param inUse the hosts on which endpoints are configured; others are not reported as absent
   * @return the hints to push, if the reading changes them
   */
  public Optional<HostHints> read(long now, Collection<HostReport> listed, Set<HostId> inUse) {
    Map<HostId, HostReport> byHost =
        listed.stream()
            .collect(Collectors.toMap(HostReport::host, Function.identity(), (a, b) -> b));
    Map<HostId, HostReport> next = new HashMap<>();
    for (HostReport report : byHost.values()) {
      stateOf(now, report).ifPresent(state -> next.put(report.host(), state));
    }
    missing(byHost.keySet(), inUse).forEach(absent -> next.put(absent.host(), absent));
    // Thousands of hosts join and leave per day; those without endpoints are removed to bound
    // memory.
    previouslyListed.retainAll(inUse);
    previouslyListed.addAll(byHost.keySet());
    if (next.equals(byHost(hints))) {
      return Optional.empty();
    }
    hints = HostHints.of(hints.version() + 1, self, next.values());
    return Optional.of(hints);
  }

  private Optional<HostReport> stateOf(long now, HostReport listed) {
    HostId host = listed.host();
    if (listed.hint() != HostHint.LIVE) {
      liveSince.remove(host);
      return Optional.of(listed);
    }
    HostReport held = byHost(hints).get(host);
    if (held == null) {
      liveSince.remove(host);
      return Optional.empty();
    }
    long since = liveSince.computeIfAbsent(host, first -> now);
    return now - since >= RECOVERY_DELAY_MILLIS ? Optional.empty() : Optional.of(held);
  }

  // An empty or truncated list would take every endpoint out of service, and no request would be
  // served. Such a reading adds no absent hosts, and the hosts reported earlier stay reported; the
  // absence of single hosts is accepted.
  private Collection<HostReport> missing(Set<HostId> listed, Set<HostId> inUse) {
    Set<HostId> absent = new HashSet<>(previouslyListed);
    absent.removeAll(listed);
    boolean plausible = absent.size() <= MAX_PLAUSIBLE_LOSS_SHARE * previouslyListed.size();
    Map<HostId, HostReport> held = byHost(hints);
    Map<HostId, HostReport> missing = new HashMap<>();
    held.forEach(
        (host, report) -> {
          if (!listed.contains(host) && inUse.contains(host)) {
            liveSince.remove(host);
            missing.put(host, report);
          }
        });
    if (plausible) {
      absent.retainAll(inUse);
      absent.forEach(
          host -> missing.putIfAbsent(host, new HostReport(host, HostHint.ABSENT, Set.of())));
    }
    return missing.values();
  }

  /**
   * Processes the hints of a peer.
   *
   * @param pushed the hints
   * @return whether they supersede the current hints
   */
  public boolean received(HostHints pushed) {
    if (!pushed.isNewerThan(hints)) {
      return false;
    }
    hints = pushed;
    return true;
  }

  private static Map<HostId, HostReport> byHost(HostHints of) {
    return of.reports().stream().collect(Collectors.toMap(HostReport::host, Function.identity()));
  }
}
