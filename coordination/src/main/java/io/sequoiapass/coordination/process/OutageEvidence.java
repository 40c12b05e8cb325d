package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.DaemonId;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Weighs peers' reports on whether the platform is out for the whole data centre.
 *
 * <p>Not thread-safe; {@link LeaseKeeper} drives it.
 */
final class OutageEvidence {

  private final long evidenceMillis;
  private final DaemonId self;
  private final Map<DaemonId, PlatformReport> reports = new TreeMap<>();
  private Set<DaemonId> others = new TreeSet<>();

  OutageEvidence(LeaseSettings settings, DaemonId self) {
    this.evidenceMillis = settings.evidenceMillis();
    this.self = self;
  }

  void dataCentreIs(Set<DaemonId> daemons) {
    others = new TreeSet<>(daemons);
    others.remove(self);
    reports.keySet().retainAll(others);
  }

  void reported(DaemonId peer, PlatformReport report) {
    if (others.contains(peer)) {
      reports.merge(
          peer,
          report,
          (old, recent) -> recent.echoedMillis() >= old.echoedMillis() ? recent : old);
    }
  }

  // A holder whose lease ran out may go on only while nobody can have taken over. A peer that is
  // dead to this daemon may only be cut off from it, so silence counts against: each daemon of the
  // data centre must say that it has lost the platform and knows no newer table. That is enough,
  // since after an outage a peer takes over only after a whole lease in contact, which is longer
  // than a report is believed.
  boolean isOutForAll(long now, long knownTable) {
    return others.stream()
        .map(reports::get)
        .allMatch(
            report ->
                report != null
                    && report.platformOut()
                    && report.tableVersion() <= knownTable
                    && now - report.echoedMillis() <= evidenceMillis);
  }

  /** Returns the peer, other than the one asked last, that best can relay a call. */
  Optional<DaemonId> relay(long now, Optional<DaemonId> last) {
    Set<DaemonId> able = new TreeSet<>();
    reports.forEach(
        (peer, report) -> {
          if (!report.platformOut() && now - report.echoedMillis() <= 2 * evidenceMillis) {
            able.add(peer);
          }
        });
    last.filter(peer -> able.size() > 1).ifPresent(able::remove);
    return RendezvousHash.first("relay/" + self, able);
  }
}
