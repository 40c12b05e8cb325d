package io.sequoiapass.daemon.process;

import io.sequoiapass.coordination.version.Preset;
import io.sequoiapass.daemon.process.entry.AffinityRoutes;
import io.sequoiapass.daemon.process.owner.Owner;
import io.sequoiapass.daemon.process.placement.Placement;
import io.sequoiapass.daemon.process.placement.PlacementPolicy;
import io.sequoiapass.daemon.process.placement.PlacementSettings;
import io.sequoiapass.daemon.process.placement.PlacementWeights;
import java.util.Objects;

/**
 * Makes placements and routes weigh load stalls and batches as the preset in force says.
 *
 * <p>{@link #placement} may be called by any thread; {@link #inForce} by one timer.
 */
final class PlacementByPreset {

  private final PlacementPolicy policy;
  private final PlacementWeights ordinary;
  private volatile Preset preset = Preset.ORDINARY;

  PlacementByPreset(PlacementPolicy policy, PlacementWeights ordinary) {
    this.policy = Objects.requireNonNull(policy, "policy");
    this.ordinary = Objects.requireNonNull(ordinary, "ordinary");
  }

  /** Returns a placement for one more base model. */
  Placement placement() {
    Placement placement = policy.create(PlacementSettings.defaults(), ordinary);
    placement.weigh(weights(), prefetches());
    return placement;
  }

  /**
   * Passes the weights of another preset on.
   *
   * @param current the preset in force now
   * @param routes the entry's side
   * @param owner the endpoints' side
   */
  void inForce(Preset current, AffinityRoutes routes, Owner owner) {
    if (current == preset) {
      return;
    }
    // First this, then the owner: a placement made in between asks for its weights itself.
    preset = current;
    routes.weigh(weights());
    owner.weigh(weights(), prefetches());
  }

  private PlacementWeights weights() {
    return ordinary.times(preset.stallFactor(), 1);
  }

  private boolean prefetches() {
    return preset.prefetchShare() > 0;
  }
}
