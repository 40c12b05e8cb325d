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
 * Makes hints of the platform's host list, and keeps the newest of those that peers made of it.
 *
 * <pre>{@code
 * HostListMonitor monitor = HostListMonitor.create(self);
 * monitor.read(now, listed, hostsInUse).ifPresent(hints -> push(hints));
 * boolean changed = monitor.received(pushed);
 * }</pre>
 *
 * <p>The list lags, and two of its readers may see it in a different state. So a host that leaves
 * is believed at once, and one that is live again only once this daemon has read so for a while:
 * work withheld from a live endpoint costs a little speed, work given to one that leaves is cut
 * off. Not thread-safe; one shard drives it.
 */
public final class HostListMonitor {

  /** Longer than two readings, so that one reading of a flapping list brings nothing back. */
  public static final long BACK_AFTER_MILLIS = 2_500;

  /** A list that lost more than this share of its hosts at once is broken rather than true. */
  private static final double CREDIBLE_LOSS = 0.5;

  private final DaemonId self;
  private final Set<HostId> listedBefore = new HashSet<>();
  private final Map<HostId, Long> liveSince = new HashMap<>();
  private HostHints hints = HostHints.NONE;

  private HostListMonitor(DaemonId self) {
    this.self = Objects.requireNonNull(self, "self");
  }

  /**
   * Returns a monitor that knows nothing yet.
   *
   * @param self this daemon
   */
  public static HostListMonitor create(DaemonId self) {
    return new HostListMonitor(self);
  }

  /** Returns the newest hints known. */
  public HostHints hints() {
    return hints;
  }

  /**
   * Takes in a reading of the list.
   *
   * @param now the time
   * @param listed the hosts of the data centre in the list, live or leaving
   * @param inUse the hosts on which endpoints are configured; others are not reported as gone
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
    missing(byHost.keySet(), inUse).forEach(gone -> next.put(gone.host(), gone));
    // Hosts come and go by the thousand a day; one that nothing stands on any more is forgotten.
    listedBefore.retainAll(inUse);
    listedBefore.addAll(byHost.keySet());
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
    return now - since >= BACK_AFTER_MILLIS ? Optional.empty() : Optional.of(held);
  }

  // A list that comes back empty or cut short would take every endpoint out of service at once,
  // and nothing would be served. What was reported before such a reading stands; single hosts that
  // are gone are believed.
  private Collection<HostReport> missing(Set<HostId> listed, Set<HostId> inUse) {
    Set<HostId> gone = new HashSet<>(listedBefore);
    gone.removeAll(listed);
    boolean credible = gone.size() <= CREDIBLE_LOSS * listedBefore.size();
    Map<HostId, HostReport> held = byHost(hints);
    Map<HostId, HostReport> missing = new HashMap<>();
    held.forEach(
        (host, report) -> {
          if (!listed.contains(host) && inUse.contains(host)) {
            liveSince.remove(host);
            missing.put(host, report);
          }
        });
    if (credible) {
      gone.retainAll(inUse);
      gone.forEach(
          host -> missing.putIfAbsent(host, new HostReport(host, HostHint.ABSENT, Set.of())));
    }
    return missing.values();
  }

  /**
   * Takes in the hints of a peer.
   *
   * @param pushed the hints
   * @return whether they replace those held
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
