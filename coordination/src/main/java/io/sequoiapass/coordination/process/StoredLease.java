package io.sequoiapass.coordination.process;

/**
 * Lease object as stored on the platform.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param version the object's version
 * @param lease its value
 */
public record StoredLease(long version, LeaseRecord lease) {}
