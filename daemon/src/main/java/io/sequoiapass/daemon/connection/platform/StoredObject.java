package io.sequoiapass.daemon.connection.platform;

import com.google.gson.JsonObject;

/**
 * Is one object as the platform stores it, as Gson reads it.
 *
 * @param kind the object's kind
 * @param name its name
 * @param version the platform's counter at its last change
 * @param operation the operation that made the last change; null if its writer named none
 * @param value the value
 */
public record StoredObject(
    String kind, String name, long version, String operation, JsonObject value) {}
