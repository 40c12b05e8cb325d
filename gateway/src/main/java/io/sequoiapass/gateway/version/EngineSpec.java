package io.sequoiapass.gateway.version;

import io.sequoiapass.coordination.ModelId;
import java.util.List;
import java.util.Optional;

/**
 * Describes the engines of one service.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param slots requests that an engine runs concurrently
 * @param kvTokens capacity of an engine's key-value cache, for running requests and cached prompts,
 *     in tokens
 * @param weightsMb memory of an engine for weights, in megabytes
 * @param adapterSlots adapters that an engine holds, those that are loading included
 * @param loadsPerSecond loads of base models that the weight store allows, over all engines
 * @param models the base models
 */
public record EngineSpec(
    int slots,
    long kvTokens,
    double weightsMb,
    int adapterSlots,
    double loadsPerSecond,
    List<ModelSpec> models) {

  /** Copies the models. */
  public EngineSpec {
    models = List.copyOf(models);
  }

  /**
   * Returns a base model.
   *
   * @param model its name
   */
  public Optional<ModelSpec> model(ModelId model) {
    return models.stream().filter(spec -> spec.model().equals(model)).findFirst();
  }
}
