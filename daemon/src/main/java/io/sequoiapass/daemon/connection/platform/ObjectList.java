package io.sequoiapass.daemon.connection.platform;

import java.util.List;

/**
 * A listing of all objects of one kind, read by Gson.
 *
 * @param revision the platform's counter at the time of the listing
 * @param items the objects
 */
public record ObjectList(long revision, List<StoredObject> items) {}
