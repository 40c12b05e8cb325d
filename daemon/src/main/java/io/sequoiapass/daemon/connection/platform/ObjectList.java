package io.sequoiapass.daemon.connection.platform;

import java.util.List;

/**
 * Is a listing of all objects of one kind, as Gson reads it.
 *
 * @param revision the platform's counter at the listing
 * @param items the objects
 */
public record ObjectList(long revision, List<StoredObject> items) {}
