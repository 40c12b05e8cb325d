package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.WorkspaceId;
import java.util.Comparator;
import java.util.Objects;
import java.util.Optional;

/**
 * The priority and the workspace of a request. Requests of one flow share one part of the room when
 * there is too little of it.
 *
 * <pre>{@code
 * Flow flow = Flow.of(route.priority(), caller.workspace());
 * flow.isMoreUrgentThan(other);
 * }</pre>
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param priority the priority, from {@link #FIRST_PRIORITY} to {@link #LAST_PRIORITY}
 * @param workspace the workspace; empty where callers need no key
 */
public record Flow(int priority, Optional<WorkspaceId> workspace) implements Comparable<Flow> {

  /** The priority that goes first. */
  public static final int FIRST_PRIORITY = 0;

  /** The priority that goes last. */
  public static final int LAST_PRIORITY = 9;

  /** The flow of all requests where there are no workspaces. */
  public static final Flow COMMON = new Flow(FIRST_PRIORITY, Optional.empty());

  private static final Comparator<Flow> ORDER =
      Comparator.comparingInt(Flow::priority)
          .thenComparing(flow -> flow.workspace().map(WorkspaceId::value).orElse(""));

  /**
   * Checks the components.
   *
   * @throws IllegalArgumentException if the priority is out of range
   */
  public Flow {
    Objects.requireNonNull(workspace, "workspace");
    if (priority < FIRST_PRIORITY || priority > LAST_PRIORITY) {
      throw new IllegalArgumentException("priority out of range: " + priority);
    }
  }

  /**
   * Returns the flow of a request; a priority that is out of range counts as the nearest one.
   *
   * @param priority the priority
   * @param workspace the workspace
   */
  public static Flow of(int priority, Optional<WorkspaceId> workspace) {
    return new Flow(Math.max(FIRST_PRIORITY, Math.min(LAST_PRIORITY, priority)), workspace);
  }

  /**
   * Returns whether requests of this flow go before those of another one, whatever their
   * workspaces.
   *
   * @param other the other flow
   */
  public boolean isMoreUrgentThan(Flow other) {
    return priority < other.priority;
  }

  /**
   * Returns the more urgent of two flows; this one if they are equally urgent.
   *
   * @param other the other flow
   */
  public Flow mostUrgent(Flow other) {
    return other.isMoreUrgentThan(this) ? other : this;
  }

  /** Orders flows by priority, then by workspace. */
  @Override
  public int compareTo(Flow other) {
    return ORDER.compare(this, other);
  }
}
