package io.sequoiapass.coordination.version;

import io.sequoiapass.coordination.ApiKey;
import io.sequoiapass.coordination.WorkspaceId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * All workspaces of one version of the configuration, found by API key or by name.
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public final class Workspaces {

  /** A configuration without workspaces: callers need no key. */
  public static final Workspaces NONE = new Workspaces(List.of());

  private final Map<ApiKey, Workspace> byKey = new HashMap<>();
  private final Map<WorkspaceId, Workspace> byId = new HashMap<>();

  /**
   * Creates an index.
   *
   * @param workspaces the workspaces
   * @throws IllegalArgumentException if two have the same name or share a key
   */
  public Workspaces(List<Workspace> workspaces) {
    for (Workspace workspace : workspaces) {
      if (byId.put(workspace.id(), workspace) != null) {
        throw new IllegalArgumentException("two workspaces are named " + workspace.id());
      }
      for (ApiKey key : workspace.keys()) {
        Workspace other = byKey.put(key, workspace);
        if (other != null) {
          throw new IllegalArgumentException(
              "workspaces " + other.id() + " and " + workspace.id() + " share " + key);
        }
      }
    }
  }

  /** Returns whether the configuration has no workspaces, so that callers need no key. */
  public boolean isEmpty() {
    return byId.isEmpty();
  }

  /**
   * Returns the workspace that holds a key.
   *
   * @param key the key
   */
  public Optional<Workspace> find(ApiKey key) {
    return Optional.ofNullable(byKey.get(key));
  }

  /**
   * Returns a workspace.
   *
   * @param id its name
   */
  public Optional<Workspace> find(WorkspaceId id) {
    return Optional.ofNullable(byId.get(id));
  }
}
