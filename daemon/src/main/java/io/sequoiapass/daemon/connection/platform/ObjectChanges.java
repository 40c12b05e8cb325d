package io.sequoiapass.daemon.connection.platform;

import java.util.List;

/**
 * The answer to a watch, read by Gson.
 *
 * @param revision the revision from which the next watch continues
 * @param events the changes, oldest first
 */
public record ObjectChanges(long revision, List<Change> events) {

  /**
   * One change of an object.
   *
   * @param type PUT or DELETE
   * @param object the object after a PUT; after a DELETE its name and the platform's counter at the
   *     deletion
   */
  public record Change(Type type, StoredObject object) {}

  /** Kind of a change. */
  public enum Type {
    /** The object was written. */
    PUT,
    /** The object was deleted. */
    DELETE
  }
}
