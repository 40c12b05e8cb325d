package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.daemon.connection.ReusePolicy;
import java.net.InetSocketAddress;
import java.util.function.BiPredicate;

/**
 * The open connections of a daemon to endpoints.
 *
 * @param daemon the daemon
 * @param canReuse whether an idle connection to an address can be reused for a call
 */
record ConnectionSource(DaemonId daemon, BiPredicate<InetSocketAddress, ReusePolicy> canReuse) {}
