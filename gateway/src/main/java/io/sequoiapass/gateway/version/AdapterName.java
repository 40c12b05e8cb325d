package io.sequoiapass.gateway.version;

import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.ModelId;

/**
 * The name of an adapter, qualified by its base model.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param model the base model
 * @param adapter the adapter
 */
public record AdapterName(ModelId model, AdapterId adapter) {

  @Override
  public String toString() {
    return model + "/" + adapter;
  }
}
