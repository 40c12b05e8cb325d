package io.sequoiapass.testbed.policy;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.daemon.process.placement.AdaptivePlacement;
import io.sequoiapass.daemon.process.placement.EndpointLoad;
import io.sequoiapass.daemon.process.placement.HotAdapters;
import io.sequoiapass.daemon.process.placement.Placement;
import io.sequoiapass.daemon.process.placement.PlacementSettings;
import io.sequoiapass.daemon.process.placement.PlacementWeights;
import io.sequoiapass.daemon.process.placement.Router;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The daemon's own decisions; entries see the owners' counts late. */
final class AdaptivePolicy implements Policy {

  /** How old the hints are that an entry routes by, at most. */
  private static final double HINT_MS = 250;

  private static final long REPORT_MS = 50;

  /** Three half-lives of demand. */
  private static final long HOT_MS = 450_000;

  private static final long MAX_HINT_AGE_MS = 2_000;

  private final Router router;
  private final List<AdaptivePlacement> placements = new ArrayList<>();
  private final HotAdapters hot = new HotAdapters(HOT_MS);
  private final Map<EndpointId, EndpointLoad> hints = new HashMap<>();
  private long reportsAtMs;
  private double hintsAtMs = Double.NEGATIVE_INFINITY;

  AdaptivePolicy(Shape shape) {
    PlacementWeights weights =
        shape.user() == User.YARDS ? PlacementWeights.STALLS : PlacementWeights.BATCHES;
    router = new Router(MAX_HINT_AGE_MS, weights.denseShare());
    for (int i = 0; i < shape.owners(); i++) {
      placements.add(new AdaptivePlacement(PlacementSettings.defaults(), weights));
    }
  }

  @Override
  public Placement placement(int owner) {
    return placements.get(owner);
  }

  /** Each owner learns, late, how many loads the others have under way. */
  @Override
  public void tick(long nowMs) {
    if (nowMs < reportsAtMs + REPORT_MS) {
      return;
    }
    reportsAtMs = nowMs;
    int sum = placements.stream().mapToInt(AdaptivePlacement::loadsInProgress).sum();
    placements.forEach(p -> p.recordOtherLoads(nowMs, sum - p.loadsInProgress()));
  }

  @Override
  public EndpointId route(double nowMs, Workload.Arrival arrival, List<Engine> engines) {
    if (nowMs - hintsAtMs >= HINT_MS) {
      hintsAtMs = nowMs;
      for (AdaptivePlacement placement : placements) {
        placement.loads().forEach(load -> learn((long) nowMs, load));
      }
    }
    List<Router.Candidate> candidates = new ArrayList<>();
    for (Engine engine : engines) {
      if (engine.model.equals(arrival.model())) {
        Optional<EndpointLoad> hint = Optional.ofNullable(hints.get(engine.id));
        candidates.add(new Router.Candidate(engine.id, 1, hint, (long) (nowMs - hintsAtMs)));
      }
    }
    boolean isHot = hot.contains((long) nowMs, arrival.adapter());
    return router.rank(arrival.adapter(), 1, isHot, candidates).get(0);
  }

  private void learn(long nowMs, EndpointLoad load) {
    hints.put(load.endpoint(), load);
    hot.update(nowMs, load);
  }
}
