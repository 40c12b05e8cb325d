package io.sequoiapass.daemon.connection.platform;

import java.util.List;

/**
 * Is the answer to a watch, as Gson reads it.
 *
 * @param revision where the next watch goes on
 * @param events the changes, oldest first
 */
public record ObjectChanges(long revision, List<Change> events) {

  /**
   * Is one change.
   *
   * @param type PUT or DELETE
   * @param object the object after a PUT; after a DELETE its name, with the counter at the deletion
   */
  public record Change(Type type, StoredObject object) {}

  /** Tells what happened to an object. */
  public enum Type {
    /** It was written. */
    PUT,
    /** It was deleted. */
    DELETE
  }
}
