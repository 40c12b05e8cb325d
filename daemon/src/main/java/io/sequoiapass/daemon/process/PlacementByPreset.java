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
 * Applies the weights of the active preset to placements and routes.
 *
 * <p>{@link #placement} may be called by any thread; {@link #apply} by a single timer only.
 */
final class PlacementByPreset {

  private final PlacementPolicy policy;
  private final PlacementWeights ordinary;
  private volatile Preset preset = Preset.ORDINARY;

  PlacementByPreset(PlacementPolicy policy, PlacementWeights ordinary) {
    this.policy = Objects.requireNonNull(policy, "policy");
    this.ordinary = Objects.requireNonNull(ordinary, "ordinary");
  }

  /** Returns a new placement for one base model. */
  Placement placement() {
    Placement placement = policy.create(PlacementSettings.defaults(), ordinary);
    placement.updateWeights(weights(), prefetches());
    return placement;
  }

  /**
   * Passes the weights of the active preset to routes and owner; does nothing if it is unchanged.
   *
   * @param current the active preset
   * @param routes the routes of the entry
   * @param owner the owner of the endpoints
   */
  void apply(Preset current, AffinityRoutes routes, Owner owner) {
    if (current == preset) {
      return;
    }
    // Set before the owner is updated: a placement created in between reads its weights from here.
    preset = current;
    routes.weigh(weights());
    owner.updateWeights(weights(), prefetches());
  }

  private PlacementWeights weights() {
    return ordinary.times(preset.stallFactor(), 1);
  }

  private boolean prefetches() {
    return preset.prefetchShare() > 0;
  }
}
