package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.DaemonId;

/**
 * Reports that a daemon's state changed, or that a new process answers under its name.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param daemon the daemon
 * @param incarnation its newest incarnation
 * @param from the state before; {@link MemberState#DEAD} for one never heard of
 * @param to the state now
 * @param restarted whether the incarnation is newer than the one known before
 */
public record MembershipChange(
    DaemonId daemon, long incarnation, MemberState from, MemberState to, boolean restarted) {}
