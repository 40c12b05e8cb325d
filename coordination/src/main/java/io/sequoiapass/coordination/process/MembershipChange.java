package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.DaemonId;

/**
 * Change of a daemon's state, or a new incarnation of a daemon.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param daemon the daemon
 * @param incarnation its newest incarnation
 * @param from the previous state; {@link MemberState#DEAD} for an unknown daemon
 * @param to the new state
 * @param restarted whether the incarnation differs from the previous one
 */
public record MembershipChange(
    DaemonId daemon, long incarnation, MemberState from, MemberState to, boolean restarted) {}
