package io.sequoiapass.coordination.version;

import io.sequoiapass.coordination.ApiKey;
import io.sequoiapass.coordination.WorkspaceId;
import java.util.Objects;
import java.util.OptionalInt;
import java.util.Set;

/**
 * A workspace in one version of the configuration.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param id its name
 * @param keys the API keys of its callers
 * @param priority the priority of its requests, 0 is the highest; empty to use the route's
 * @param limit the usage that it may have
 */
public record Workspace(WorkspaceId id, Set<ApiKey> keys, OptionalInt priority, UsageLimit limit) {

  /** Copies the keys. */
  public Workspace {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(priority, "priority");
    Objects.requireNonNull(limit, "limit");
    keys = Set.copyOf(keys);
  }
}
