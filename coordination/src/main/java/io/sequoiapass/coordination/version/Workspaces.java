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

  /** A configuration that does not mention workspaces: callers need no key. */
  public static final Workspaces NONE = new Workspaces(List.of(), false);

  private final boolean keysRequired;
  private final Map<ApiKey, Workspace> byKey = new HashMap<>();
  private final Map<WorkspaceId, Workspace> byId = new HashMap<>();

  /**
   * Creates an index. Callers need a key also if the list is empty, so that nobody is let in by
   * removing the last workspace.
   *
   * @param workspaces the workspaces
   * @throws IllegalArgumentException if two have the same name or share a key
   */
  public Workspaces(List<Workspace> workspaces) {
    this(workspaces, true);
  }

  private Workspaces(List<Workspace> workspaces, boolean keysRequired) {
    this.keysRequired = keysRequired;
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

  /** Returns whether callers of routes that are not public need a key. */
  public boolean areKeysRequired() {
    return keysRequired;
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
