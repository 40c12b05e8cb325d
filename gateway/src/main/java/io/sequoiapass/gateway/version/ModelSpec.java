package io.sequoiapass.gateway.version;

import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.ModelId;
import java.util.function.Predicate;

/**
 * Describes one base model of an engine service.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param model its name
 * @param weightsMb memory of its weights, in megabytes
 * @param loadMs how long a load from the weight store takes, in milliseconds
 * @param adapterExists tests whether an adapter of this model exists
 */
public record ModelSpec(
    ModelId model, double weightsMb, long loadMs, Predicate<AdapterId> adapterExists) {}
