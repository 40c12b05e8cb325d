package io.sequoiapass.coordination.process;

/**
 * Carries, on a peer's heartbeat, what that peer knows of the platform.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param platformOut whether the platform is out for the peer
 * @param tableVersion the newest version of the ownership table that the peer knows
 * @param leaseVersion the newest version of the peer's own lease object that it knows
 * @param echoedMillis the receiver's own clock, as it stood in the last heartbeat that the peer had
 *     from it; bounds the report's age without comparing clocks
 */
public record PlatformReport(
    boolean platformOut, long tableVersion, long leaseVersion, long echoedMillis) {}
