package io.sequoiapass.testbed.launch;

import java.util.List;

/**
 * Tells what a cluster is made of.
 *
 * @param dataCentres names of the data centres
 * @param daemons daemons in each data centre
 * @param engines engines in each data centre
 * @param services endpoints of the plain service in each data centre
 * @param adapters adapters configured
 * @param slots adapter slots of each engine
 * @param maxStreams streams of each engine
 * @param checksFence whether engines refuse orders with an old fencing number
 * @param proxies where fault proxies stand
 * @param engineFlags further flags of each engine
 * @param platformFlags further flags of the platform
 * @param daemonFlags further flags of each daemon
 * @param daemonJvmFlags flags of each daemon's virtual machine
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
