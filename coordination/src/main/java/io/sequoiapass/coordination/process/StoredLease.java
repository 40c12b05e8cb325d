package io.sequoiapass.coordination.process;

/**
 * A lease object as the platform stores it.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param version the object's version
 * @param lease its value
 */
public record StoredLease(long version, LeaseRecord lease) {}
