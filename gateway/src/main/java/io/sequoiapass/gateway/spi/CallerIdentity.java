package io.sequoiapass.gateway.spi;

import io.sequoiapass.coordination.WorkspaceId;
import java.util.Optional;

/**
 * Whose request is forwarded.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param workspace the workspace that holds the caller's key; empty for an anonymous caller
 * @param withholdsKey whether the header that carries keys is removed, since this daemon checks it
 */
public record CallerIdentity(Optional<WorkspaceId> workspace, boolean withholdsKey) {

  /** A caller of a deployment without workspaces; its headers concern only the endpoint. */
  public static final CallerIdentity UNCHECKED = new CallerIdentity(Optional.empty(), false);

  /** A caller of a public route that bears no known key. */
  public static final CallerIdentity ANONYMOUS = new CallerIdentity(Optional.empty(), true);

  /**
   * Returns the identity of a workspace's caller.
   *
   * @param workspace the workspace
   */
  public static CallerIdentity of(WorkspaceId workspace) {
    return new CallerIdentity(Optional.of(workspace), true);
  }
}
