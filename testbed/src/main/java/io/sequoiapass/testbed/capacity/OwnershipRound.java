package io.sequoiapass.testbed.capacity;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.process.Candidate;
import io.sequoiapass.coordination.process.LeaseObserver;
import io.sequoiapass.coordination.process.LeaseSettings;
import io.sequoiapass.coordination.process.OwnershipPlanner;
import io.sequoiapass.coordination.process.OwnershipProposal;
import io.sequoiapass.coordination.process.OwnershipSettings;
import io.sequoiapass.coordination.process.OwnershipTable;
import io.sequoiapass.coordination.process.PlatformConnectivity;
import io.sequoiapass.coordination.version.WriteAnswer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Benchmark of the ownership decisions of one daemon per control round, without failures. */
final class OwnershipRound {

  /** Rounds per second, so that work done once per second is included in proportion. */
  private static final int ROUNDS_PER_SECOND = 20;

  /** Time until every endpoint has an owner and no endpoint is left to rebalance. */
  private static final int CONVERGENCE_SECONDS = 120;

  private static final long INCARNATION = 1_796_246_933_064L;
  private static final long SEED = 5;

  private final List<DaemonId> daemons = Fleet.daemons(Fleet.DAEMONS_OF_A_CENTRE);
  private final Map<DaemonId, Candidate> candidates = new HashMap<>();
  private final PlatformConnectivity contact =
      PlatformConnectivity.create(LeaseSettings.DEFAULT, 0);
  private final LeaseObserver observer = LeaseObserver.create(LeaseSettings.DEFAULT, contact);
  private final OwnershipPlanner planner =
      OwnershipPlanner.create(
          OwnershipSettings.DEFAULT,
          Fleet.DATA_CENTRE,
          daemons.get(0),
          observer,
          new SplittableRandom(SEED));
  private long rounds;
  private long version;

  private OwnershipRound(int endpoints) {
    List<EndpointId> all = new ArrayList<>();
    for (int i = 0; i < endpoints; i++) {
      all.add(Fleet.endpoint(i));
    }
    daemons.forEach(daemon -> candidates.put(daemon, new Candidate(1, INCARNATION)));
    planner.tableReceived(0, OwnershipTable.EMPTY);
    planner.setEndpoints(all);
  }

  /** Returns the time of a round, in microseconds, for a number of endpoints. */
  static double micros(int endpoints) {
    OwnershipRound owner = new OwnershipRound(endpoints);
    for (int i = 0; i < CONVERGENCE_SECONDS * ROUNDS_PER_SECOND; i++) {
      owner.round();
    }
    return MicroBenchmark.microsOf(owner::round);
  }

  private OwnershipTable round() {
    rounds++;
    long now = rounds * 1_000 / ROUNDS_PER_SECOND;
    contact.succeeded(now);
    daemons.forEach(daemon -> observer.leaseVersionReceived(now, daemon, rounds));
    planner.setCandidates(now, INCARNATION, candidates);
    planner.leasesToCheck(now);
    planner
        .takeOver(now)
        .or(() -> planner.rebalance(now))
        .ifPresent(write -> confirmWrite(now, write));
    return planner.table();
  }

  private void confirmWrite(long now, OwnershipProposal write) {
    version++;
    planner.writeAnswered(now, write.operation(), new WriteAnswer.Stored(version));
  }
}
