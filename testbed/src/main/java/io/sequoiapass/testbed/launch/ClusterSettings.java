package io.sequoiapass.testbed.launch;

import java.util.List;

/**
 * Size and flags of a cluster.
 *
 * @param dataCentres names of the data centres
 * @param daemons daemons in each data centre
 * @param engines engines in each data centre
 * @param services endpoints of the plain service in each data centre
 * @param adapters number of configured adapters
 * @param slots adapter slots of each engine
 * @param maxStreams maximum concurrent streams of each engine
 * @param checksFence whether engines reject orders with an outdated fencing number
 * @param proxies which connections go through fault proxies
 * @param engineFlags additional flags of each engine
 * @param platformFlags additional flags of the platform
 * @param daemonFlags additional flags of each daemon
 * @param daemonJvmFlags JVM flags of each daemon
 */
record ClusterSettings(
    List<String> dataCentres,
    int daemons,
    int engines,
    int services,
    int adapters,
    int slots,
    int maxStreams,
    boolean checksFence,
    ProxyPlan proxies,
    List<String> engineFlags,
    List<String> platformFlags,
    List<String> daemonFlags,
    List<String> daemonJvmFlags) {}
