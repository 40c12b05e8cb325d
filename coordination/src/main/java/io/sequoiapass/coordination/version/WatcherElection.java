package io.sequoiapass.coordination.version;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.process.RendezvousHash;
import java.util.Collection;
import java.util.List;
import java.util.Objects;

/**
 * Picks the daemons of a data centre that watch the platform for all of it.
 *
 * <pre>{@code
 * WatcherElection election = WatcherElection.create(dataCentre, 2);
 * boolean watch = election.watchers(liveDaemons).contains(self);
 * }</pre>
 *
 * <p>Daemons that see different members may pick different watchers for a while; that costs calls
 * or delay and never correctness, since objects carry versions and digests repair what is missed.
 * Instances are immutable and safe for use by several threads.
 */
public final class WatcherElection {

  /** More would cost the platform a waiting call each and shorten nothing. */
  public static final int MAX_WATCHERS = 3;

  private final DataCentreId dataCentre;
  private final int watchers;

  private WatcherElection(DataCentreId dataCentre, int watchers) {
    this.dataCentre = Objects.requireNonNull(dataCentre, "dataCentre");
    this.watchers = watchers;
  }

  /**
   * Returns an election.
   *
   * @param dataCentre the data centre
   * @param watchers how many daemons watch; 2 or 3, so that one cut watch delays nothing
   */
  public static WatcherElection create(DataCentreId dataCentre, int watchers) {
    if (watchers < 2 || watchers > MAX_WATCHERS) {
      throw new IllegalArgumentException("watchers must be 2 or 3: " + watchers);
    }
    return new WatcherElection(dataCentre, watchers);
  }

  /**
   * Returns the watchers among the daemons.
   *
   * @param daemons the daemons heard from that have contact with the platform, the own one included
   */
  public List<DaemonId> watchers(Collection<DaemonId> daemons) {
    List<DaemonId> ranked = RendezvousHash.rank("watch/" + dataCentre, daemons);
    return List.copyOf(ranked.subList(0, Math.min(watchers, ranked.size())));
  }
}
