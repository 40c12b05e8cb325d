package io.sequoiapass.coordination.version;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.process.RendezvousHash;
import java.util.Collection;
import java.util.List;
import java.util.Objects;

/**
 * Selects the daemons of a data centre that watch the platform on behalf of all its daemons.
 *
 * <pre>{@code
 * WatcherElection election = WatcherElection.create(dataCentre, 2);
 * boolean watch = election.watchers(liveDaemons).contains(self);
 * }</pre>
 *
 * <p>Daemons with different membership views may temporarily select different watchers. That costs
 * calls or delay but not correctness, since objects carry versions and the digest exchange repairs
 * missed updates. Instances are immutable and safe for use by several threads.
 */
public final class WatcherElection {

  /** Each further watcher would cost the platform one pending call without reducing the delay. */
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
   * @param watchers the number of watchers; 2 or 3, so that the loss of one watch causes no delay
   */
  public static WatcherElection create(DataCentreId dataCentre, int watchers) {
    if (watchers < 2 || watchers > MAX_WATCHERS) {
      throw new IllegalArgumentException("watchers must be 2 or 3: " + watchers);
    }
    return new WatcherElection(dataCentre, watchers);
  }

  /**
   * Returns the daemons selected as watchers.
   *
   * @param daemons the live daemons that reach the platform, including this one
   */
  public List<DaemonId> watchers(Collection<DaemonId> daemons) {
    List<DaemonId> ranked = RendezvousHash.rank("watch/" + dataCentre, daemons);
    return List.copyOf(ranked.subList(0, Math.min(watchers, ranked.size())));
  }
}
