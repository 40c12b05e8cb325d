package io.sequoiapass.coordination.process;

/**
 * A peer's view of the platform, sent with its heartbeats.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param platformOut whether the platform is out for the peer
 * @param tableVersion the newest version of the ownership table that the peer holds
 * @param leaseVersion the newest known version of the peer's own lease object
 * @param echoedMillis the timestamp, by the receiver's own clock, of the last heartbeat that the
 *     peer received from it; bounds the age of the report without comparing clocks of two processes
 */
public record PlatformReport(
    boolean platformOut, long tableVersion, long leaseVersion, long echoedMillis) {}
