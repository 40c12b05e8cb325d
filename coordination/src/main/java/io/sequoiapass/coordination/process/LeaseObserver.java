package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.DaemonId;
import java.util.Collection;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Determines by the local clock whether other daemons' leases have expired, based on when each
 * version was first observed.
 *
 * <pre>{@code
 * observer.leaseVersionReceived(now, peer, report.leaseVersion());
 * for (DaemonId daemon : observer.leasesToCheck(now, owners)) { ... read its lease object ... }
 * observer.leaseRead(sentAt, now, daemon, version);
 * boolean expired = observer.hasExpired(now, daemon, tableReceivedAt);
 * }</pre>
 *
 * <p>Heartbeats carry the version of the sender's lease, so that no lease is read from the platform
 * in normal operation. Heartbeats can only extend a lease; its expiry requires a read that was sent
 * at least one lease duration after the version was first observed. Clocks of different processes
 * are not compared. Not thread-safe; confined to one shard.
 */
public final class LeaseObserver {

  private final long durationMillis;
  private final long checkIntervalMillis;
  private final PlatformConnectivity contact;
  private final Map<DaemonId, Observation> observations = new TreeMap<>();

  private LeaseObserver(LeaseSettings settings, PlatformConnectivity contact) {
    this.durationMillis = settings.durationMillis();
    this.checkIntervalMillis = settings.marginMillis();
    this.contact = Objects.requireNonNull(contact, "contact");
  }

  /**
   * Returns an observer that holds no lease versions.
   *
   * @param settings the timing settings; the same for every daemon of the fleet
   * @param contact tracks whether the daemon reaches the platform
   */
  public static LeaseObserver create(LeaseSettings settings, PlatformConnectivity contact) {
    return new LeaseObserver(settings, contact);
  }

  /**
   * Handles the lease version of a daemon's heartbeat.
   *
   * @param now the time
   * @param daemon the daemon
   * @param version the version; 0 if the daemon holds no lease
   */
  public void leaseVersionReceived(long now, DaemonId daemon, long version) {
    Observation observation = observations.get(daemon);
    if (version > 0 && (observation == null || version > observation.version)) {
      observations.put(daemon, new Observation(version, now));
    }
  }

  /**
   * Handles the answer to a read of a lease object.
   *
   * @param sentAt the time right before the read was sent
   * @param receivedAt the time its answer was received
   * @param daemon the holder
   * @param version the object's version; 0 if there is no such object
   */
  public void leaseRead(long sentAt, long receivedAt, DaemonId daemon, long version) {
    Observation observation = observations.get(daemon);
    boolean deleted = version == 0;
    if (observation == null || version > observation.version || (deleted && !observation.deleted)) {
      Observation changed = new Observation(Math.max(version, versionOf(observation)), receivedAt);
      changed.deleted = deleted;
      observations.put(daemon, changed);
      observation = changed;
    }
    if (deleted || version == observation.version) {
      observation.readSentAt = Math.max(observation.readSentAt, sentAt);
    }
  }

  /**
   * Schedules an immediate read of a daemon's lease because its heartbeat is overdue. The daemon
   * may have renewed its lease after its last heartbeat. If this renewal were observed only when
   * the previous one expires, it would delay the takeover by another lease duration.
   *
   * @param daemon the daemon
   */
  public void heartbeatMissed(DaemonId daemon) {
    Observation observation = observations.get(daemon);
    if (observation != null) {
      observation.readRequested = true;
    }
  }

  /**
   * Returns the daemons whose lease objects have to be read now.
   *
   * @param now the time
   * @param daemons the daemons whose leases are relevant: the owners in the table
   * @param graceMillis the time after expiry during which other daemons are expected to read the
   *     lease
   */
  public Set<DaemonId> leasesToCheck(long now, Collection<DaemonId> daemons, long graceMillis) {
    Set<DaemonId> due = new TreeSet<>();
    for (DaemonId daemon : daemons) {
      Observation observation = observations.get(daemon);
      if (observation == null) {
        // Unknown daemon: its lease duration starts now, as if a version had just been observed.
        observation = new Observation(0, now);
        observation.checkAt = now + graceMillis;
        observations.put(daemon, observation);
      }
      boolean stale = observation.version == 0 || !isFresh(now - graceMillis, observation);
      boolean requested = observation.readRequested && graceMillis == 0;
      if ((stale || requested) && now >= observation.checkAt) {
        due.add(daemon);
        observation.readRequested = false;
        observation.checkAt = now + checkIntervalMillis;
      }
    }
    return due;
  }

  /** Returns whether a change of a daemon's lease was observed within the last lease duration. */
  public boolean isLive(long now, DaemonId daemon) {
    Observation observation = observations.get(daemon);
    return observation != null
        && observation.version > 0
        && !observation.deleted
        && isFresh(now, observation);
  }

  /**
   * Returns whether a daemon's lease is known to have expired, so that its endpoints may be taken
   * over.
   *
   * <p>The read must have been sent after the table on which the takeover is conditional was
   * received; otherwise a holder that has recovered and written that table would lose its endpoints
   * because of an outdated read. The daemon must also have reached the platform for a full lease
   * duration before the read, since peers rely on its report that it could not reach the platform
   * and cannot take over yet.
   *
   * @param now the time
   * @param daemon the holder
   * @param tableReceivedAt the time when the current version of the ownership table was first
   *     received
   */
  public boolean hasExpired(long now, DaemonId daemon, long tableReceivedAt) {
    Observation observation = observations.get(daemon);
    if (observation == null || contact.isOut(now) || observation.readSentAt < tableReceivedAt) {
      return false;
    }
    return observation.readSentAt
        >= Math.max(observation.observedAt, contact.reachableSince()) + durationMillis;
  }

  /** Removes all daemons but the given ones: the owners of endpoints and the members. */
  public void retain(Collection<DaemonId> daemons) {
    observations.keySet().retainAll(daemons);
  }

  private static long versionOf(Observation observation) {
    return observation == null ? 0 : observation.version;
  }

  private boolean isFresh(long now, Observation observation) {
    return now - observation.observedAt < durationMillis;
  }

  /** Version of a lease, and when it was first observed. */
  private static final class Observation {
    private final long version;
    private final long observedAt;
    private long readSentAt = Long.MIN_VALUE;
    private long checkAt = Long.MIN_VALUE;
    private boolean deleted;
    private boolean readRequested;

    Observation(long version, long observedAt) {
      this.version = version;
      this.observedAt = observedAt;
    }
  }
}
