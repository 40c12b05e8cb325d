package io.sequoiapass.daemon.connection.platform;

import com.google.gson.JsonObject;

/**
 * An object in the platform's stored form, read and written by Gson.
 *
 * @param kind the object's kind
 * @param name its name
 * @param version the platform's counter at the last change
 * @param operation the operation that made the last change; null if the writer gave none
 * @param value the value; null if the object is deleted
 */
public record StoredObject(
    String kind, String name, long version, String operation, JsonObject value) {}
