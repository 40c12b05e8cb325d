package io.sequoiapass.gateway.version;

import io.sequoiapass.coordination.ModelId;
import java.util.Optional;

/**
 * Announces the newest version of a base model's weights, or of one of its adapters.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param model the base model
 * @param adapter the adapter; empty if the base model itself has a new version
 * @param version the version
 */
public record AdapterRelease(ModelId model, Optional<AdapterName> adapter, long version) {}
