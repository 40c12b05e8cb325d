package io.sequoiapass.testbed.launch;

import io.sequoiapass.testbed.proxy.FaultProxy;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The fault proxies of a cluster: one between each daemon and the platform, one for each ordered
 * pair of daemons, and one in front of each endpoint that all daemons share.
 *
 * <p>Safe for use by several threads once the cluster runs.
 */
public final class ClusterProxies implements AutoCloseable {

  private final ProxyPlan plan;
  private final Map<String, FaultProxy> proxies = new HashMap<>();

  ClusterProxies(ProxyPlan plan) {
    this.plan = plan;
  }

  void open(InetSocketAddress platform, List<DaemonNode> daemons, List<EndpointNode> endpoints)
      throws IOException {
    if (plan.beforePlatform()) {
      for (DaemonNode daemon : daemons) {
        proxies.put(platformKey(daemon.id()), FaultProxy.start(0, platform));
      }
    }
    if (plan.beforePeersAndEndpoints()) {
      openPeerAndEndpointProxies(daemons, endpoints);
    }
  }

  private void openPeerAndEndpointProxies(List<DaemonNode> daemons, List<EndpointNode> endpoints)
      throws IOException {
    for (DaemonNode daemon : daemons) {
      for (DaemonNode peer : daemons) {
        if (peer != daemon) {
          proxies.put(peerKey(daemon.id(), peer.id()), FaultProxy.start(0, peer.peerAddress()));
        }
      }
    }
    for (EndpointNode endpoint : endpoints) {
      proxies.put(endpointKey(endpoint.id()), FaultProxy.start(0, endpoint.address()));
    }
  }

  private static String platformKey(String daemon) {
    return daemon + "->platform";
  }

  private static String peerKey(String from, String to) {
    return from + "->" + to;
  }

  private static String endpointKey(String endpoint) {
    return "*->" + endpoint;
  }

  InetSocketAddress platformFor(DaemonNode daemon, InetSocketAddress direct) {
    return plan.beforePlatform() ? toPlatform(daemon.id()).address() : direct;
  }

  InetSocketAddress peerFor(DaemonNode from, DaemonNode to) {
    return plan.beforePeersAndEndpoints() ? toPeer(from.id(), to.id()).address() : to.peerAddress();
  }

  InetSocketAddress endpointFor(EndpointNode endpoint) {
    return plan.beforePeersAndEndpoints()
        ? toEndpoint(endpoint.id()).address()
        : endpoint.address();
  }

  /**
   * Returns the proxy between a daemon and the platform.
   *
   * @param daemon the daemon that connects
   */
  public FaultProxy toPlatform(String daemon) {
    return find(platformKey(daemon));
  }

  /**
   * Returns the proxy between two daemons.
   *
   * @param from the daemon that connects
   * @param to the daemon that it connects to
   */
  public FaultProxy toPeer(String from, String to) {
    return find(peerKey(from, to));
  }

  /**
   * Returns the proxy in front of an endpoint.
   *
   * @param endpoint the endpoint
   */
  public FaultProxy toEndpoint(String endpoint) {
    return find(endpointKey(endpoint));
  }

  private FaultProxy find(String key) {
    FaultProxy proxy = proxies.get(key);
    if (proxy == null) {
      throw new IllegalStateException("no proxy " + key + " in proxy plan " + plan);
    }
    return proxy;
  }

  @Override
  public void close() {
    proxies.values().forEach(FaultProxy::close);
  }
}
