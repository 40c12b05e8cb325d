package io.sequoiapass.daemon.process.command;

import com.google.gson.JsonObject;

/**
 * Holds one object as the platform gave it.
 *
 * @param kind the kind's word
 * @param name the name
 * @param version the version, for conditional updates
 * @param operation the operation that last changed it, or null
 * @param value the value
 */
record PlatformObject(String kind, String name, long version, String operation, JsonObject value) {

  /** The version that stands for an object that does not exist. */
  static final long ABSENT = 0;
}
