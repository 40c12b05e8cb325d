package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.DaemonId;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Decides from peers' reports whether the platform is out for the entire data centre.
 *
 * <p>Not thread-safe; used by {@link LeaseManager} only.
 */
final class PlatformOutageDetector {

  private final long reportMaxAgeMillis;
  private final DaemonId self;
  private final Map<DaemonId, PlatformReport> reports = new TreeMap<>();
  private Set<DaemonId> peers = new TreeSet<>();

  PlatformOutageDetector(LeaseSettings settings, DaemonId self) {
    this.reportMaxAgeMillis = settings.reportMaxAgeMillis();
    this.self = self;
  }

  void setMembers(Set<DaemonId> daemons) {
    peers = new TreeSet<>(daemons);
    peers.remove(self);
    reports.keySet().retainAll(peers);
  }

  void reportReceived(DaemonId peer, PlatformReport report) {
    if (peers.contains(peer)) {
      reports.merge(
          peer,
          report,
          (former, recent) -> recent.echoedMillis() >= former.echoedMillis() ? recent : former);
    }
  }

  // A holder whose lease has expired may continue only while no other daemon can have taken over. A
  // peer that counts as dead may only be partitioned from this daemon, so a missing report counts
  // as a takeover: each daemon of the data centre must report that it cannot reach the platform and
  // holds no newer table. This suffices because after an outage a peer takes over only after it has
  // reached the platform for a full lease duration, which is longer than the maximum age of a
  // report.
  boolean isOutForDataCentre(long now, long ownTableVersion) {
    return peers.stream()
        .map(reports::get)
        .allMatch(
            report ->
                report != null
                    && report.platformOut()
                    && report.tableVersion() <= ownTableVersion
                    && now - report.echoedMillis() <= reportMaxAgeMillis);
  }

  /**
   * Returns the preferred peer to relay a call; not the previous relay, unless it is the only one
   * available.
   */
  Optional<DaemonId> selectRelay(long now, Optional<DaemonId> previous) {
    Set<DaemonId> available = new TreeSet<>();
    reports.forEach(
        (peer, report) -> {
          if (!report.platformOut() && now - report.echoedMillis() <= 2 * reportMaxAgeMillis) {
            available.add(peer);
          }
        });
    previous.filter(peer -> available.size() > 1).ifPresent(available::remove);
    return RendezvousHash.first("relay/" + self, available);
  }
}
