package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.DaemonId;
import java.util.Collection;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Judges other daemons' leases by the own clock, from when each was last seen to change.
 *
 * <pre>{@code
 * observer.heartbeatCarried(now, peer, report.leaseVersion());
 * for (DaemonId daemon : observer.toCheck(now, owners)) { ... read its lease object ... }
 * observer.leaseRead(sentAt, now, daemon, version);
 * boolean lapsed = observer.hasLapsed(now, daemon, tableReceivedAt);
 * }</pre>
 *
 * <p>Heartbeats carry the version of each lease, so that nothing is read from the platform while
 * all is well. Heartbeats only make a lease look longer; that it ran out takes a read sent a whole
 * duration after the version was learned. No clocks are compared. Not thread-safe; one shard drives
 * it.
 */
public final class LeaseObserver {

  private final long durationMillis;
  private final long checkEveryMillis;
  private final PlatformContact contact;
  private final Map<DaemonId, Observation> observations = new TreeMap<>();

  private LeaseObserver(LeaseSettings settings, PlatformContact contact) {
    this.durationMillis = settings.durationMillis();
    this.checkEveryMillis = settings.marginMillis();
    this.contact = Objects.requireNonNull(contact, "contact");
  }

  /**
   * Returns an observer that has seen no lease.
   *
   * @param settings the times; the same for every daemon of the fleet
   * @param contact the daemon's contact with the platform
   */
  public static LeaseObserver create(LeaseSettings settings, PlatformContact contact) {
    return new LeaseObserver(settings, contact);
  }

  /**
   * Takes in the version of its lease that a daemon's heartbeat carried.
   *
   * @param now the time
   * @param daemon the daemon
   * @param version the version; 0 for none
   */
  public void heartbeatCarried(long now, DaemonId daemon, long version) {
    Observation known = observations.get(daemon);
    if (version > 0 && (known == null || version > known.version)) {
      observations.put(daemon, new Observation(version, now));
    }
  }

  /**
   * Takes in a lease object that was read from the platform.
   *
   * @param sentAt the time right before the read was sent
   * @param receivedAt the time its answer came
   * @param daemon the holder
   * @param version the object's version; 0 if there is no such object
   */
  public void leaseRead(long sentAt, long receivedAt, DaemonId daemon, long version) {
    Observation known = observations.get(daemon);
    boolean gone = version == 0;
    if (known == null || version > known.version || (gone && !known.gone)) {
      Observation changed = new Observation(Math.max(version, versionOf(known)), receivedAt);
      changed.gone = gone;
      observations.put(daemon, changed);
      known = changed;
    }
    if (gone || version == known.version) {
      known.readSentAt = Math.max(known.readSentAt, sentAt);
    }
  }

  /**
   * Takes in that a daemon has fallen silent: its lease is read once at once. It may have renewed
   * after its last heartbeat; learned only when the older renewal runs out, that one would delay
   * the takeover by another lease.
   *
   * @param daemon the daemon
   */
  public void fellSilent(DaemonId daemon) {
    Observation known = observations.get(daemon);
    if (known != null) {
      known.readSoon = true;
    }
  }

  /**
   * Returns the daemons whose lease objects are to be read now.
   *
   * @param now the time
   * @param daemons those whose leases matter: the owners in the table
   * @param graceMillis how long after its duration a lease is left to other daemons to read
   */
  public Set<DaemonId> toCheck(long now, Collection<DaemonId> daemons, long graceMillis) {
    Set<DaemonId> due = new TreeSet<>();
    for (DaemonId daemon : daemons) {
      Observation known = observations.get(daemon);
      if (known == null) {
        // Never heard of: from now on its silence is measured, as if it had just been seen.
        known = new Observation(0, now);
        known.checkAt = now + graceMillis;
        observations.put(daemon, known);
      }
      boolean old = known.version == 0 || !isFresh(now - graceMillis, known);
      boolean soon = known.readSoon && graceMillis == 0;
      if ((old || soon) && now >= known.checkAt) {
        due.add(daemon);
        known.readSoon = false;
        known.checkAt = now + checkEveryMillis;
      }
    }
    return due;
  }

  /** Returns whether a daemon's lease was seen to change within its duration. */
  public boolean isLive(long now, DaemonId daemon) {
    Observation known = observations.get(daemon);
    return known != null && known.version > 0 && !known.gone && isFresh(now, known);
  }

  /**
   * Returns whether a daemon's lease is known to have run out, so that its endpoints may be taken.
   *
   * <p>The deciding read must have been sent after the table on which the takeover is conditional
   * was known: else a holder that came back and wrote that very table would lose its endpoints to a
   * view from before. It must also follow a whole duration of contact, since peers take the word of
   * this daemon that it had lost the platform and cannot take over yet.
   *
   * @param now the time
   * @param daemon the holder
   * @param tableReceivedAt when the ownership table was first known in its present version
   */
  public boolean hasLapsed(long now, DaemonId daemon, long tableReceivedAt) {
    Observation known = observations.get(daemon);
    if (known == null || contact.isOut(now) || known.readSentAt < tableReceivedAt) {
      return false;
    }
    return known.readSentAt >= Math.max(known.since, contact.since()) + durationMillis;
  }

  /** Forgets daemons that neither own endpoints nor are members. */
  public void retain(Collection<DaemonId> daemons) {
    observations.keySet().retainAll(daemons);
  }

  private static long versionOf(Observation known) {
    return known == null ? 0 : known.version;
  }

  private boolean isFresh(long now, Observation known) {
    return now - known.since < durationMillis;
  }

  /** One version of a lease, and when it was learned. */
  private static final class Observation {
    private final long version;
    private final long since;
    private long readSentAt = Long.MIN_VALUE;
    private long checkAt = Long.MIN_VALUE;
    private boolean gone;
    private boolean readSoon;

    Observation(long version, long since) {
      this.version = version;
      this.since = since;
    }
  }
}
