package io.sequoiapass.testbed.measure;

import io.sequoiapass.testbed.cli.UsageException;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.DaemonNode;
import io.sequoiapass.testbed.launch.EndpointNode;
import io.sequoiapass.testbed.launch.EndpointNode.EndpointKind;
import io.sequoiapass.testbed.proxy.Direction;
import io.sequoiapass.testbed.proxy.ProxyFault;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/** Faults that a run can inject. */
enum FaultKind {
  /** A daemon is killed, and restarted under the same name at the end. */
  KILL_DAEMON(true) {
    @Override
    void begin(Cluster cluster, int target) {
      daemon(cluster, target).process().kill();
    }

    @Override
    void end(Cluster cluster, int target) throws IOException, InterruptedException {
      cluster.restart(daemon(cluster, target));
    }
  },
  /** A daemon's process is paused. */
  FREEZE_DAEMON(true) {
    @Override
    void begin(Cluster cluster, int target) throws IOException, InterruptedException {
      daemon(cluster, target).process().pause();
    }

    @Override
    void end(Cluster cluster, int target) throws IOException, InterruptedException {
      daemon(cluster, target).process().resume();
    }
  },
  /** A daemon is partitioned from its peers, but not from callers, endpoints and platform. */
  CUT_PEERS(false) {
    @Override
    void begin(Cluster cluster, int target) {
      setPeerFault(cluster, target, ProxyFault.cut());
    }

    @Override
    void end(Cluster cluster, int target) {
      setPeerFault(cluster, target, ProxyFault.none());
    }
  },
  /**
   * Data from the initiator of a connection between the daemon and a peer stalls; it stays open.
   */
  HANG_PEERS(false) {
    @Override
    void begin(Cluster cluster, int target) {
      setPeerFault(cluster, target, ProxyFault.oneWayCut(Direction.TO_TARGET));
    }

    @Override
    void end(Cluster cluster, int target) {
      setPeerFault(cluster, target, ProxyFault.none());
    }
  },
  /** A daemon is partitioned from the platform. */
  CUT_PLATFORM(false) {
    @Override
    void begin(Cluster cluster, int target) {
      cluster.proxies().toPlatform(daemon(cluster, target).id()).set(ProxyFault.cut());
    }

    @Override
    void end(Cluster cluster, int target) {
      cluster.proxies().toPlatform(daemon(cluster, target).id()).set(ProxyFault.none());
    }
  },
  /** The platform is unavailable to all daemons. */
  PLATFORM_OUT(false) {
    @Override
    void begin(Cluster cluster, int target) throws IOException, InterruptedException {
      cluster.setFaults(cluster.platformAddress(), "{\"outage\":true}");
    }

    @Override
    void end(Cluster cluster, int target) throws IOException, InterruptedException {
      cluster.setFaults(cluster.platformAddress(), "{}");
    }
  },
  /** An engine restarts without loaded adapters. */
  RESTART_ENGINE(false) {
    @Override
    void begin(Cluster cluster, int target) throws IOException, InterruptedException {
      cluster.setFaults(endpoint(cluster, EndpointKind.ENGINE, target), "{\"restart\":true}");
    }

    @Override
    void end(Cluster cluster, int target) throws IOException, InterruptedException {
      cluster.setFaults(endpoint(cluster, EndpointKind.ENGINE, target), "{}");
    }
  },
  /** A plain service runs the requests that it receives, but its answers are lost. */
  LOSE_ANSWERS(false) {
    @Override
    void begin(Cluster cluster, int target) throws IOException, InterruptedException {
      cluster.setFaults(endpoint(cluster, EndpointKind.SERVICE, target), "{\"lose_answer\":true}");
    }

    @Override
    void end(Cluster cluster, int target) throws IOException, InterruptedException {
      cluster.setFaults(endpoint(cluster, EndpointKind.SERVICE, target), "{}");
    }
  };

  private final boolean takesDaemonDown;

  FaultKind(boolean takesDaemonDown) {
    this.takesDaemonDown = takesDaemonDown;
  }

  /** Returns whether a balancer takes the daemon out of rotation during the fault. */
  boolean takesDaemonDown() {
    return takesDaemonDown;
  }

  abstract void begin(Cluster cluster, int target) throws IOException, InterruptedException;

  abstract void end(Cluster cluster, int target) throws IOException, InterruptedException;

  /**
   * Returns the kind with a name, or all kinds for an empty name.
   *
   * @throws UsageException if there is no such kind
   */
  static Set<FaultKind> named(String name) throws UsageException {
    EnumSet<FaultKind> kinds = EnumSet.allOf(FaultKind.class);
    kinds.removeIf(kind -> !name.isEmpty() && !kind.name().equals(name));
    if (kinds.isEmpty()) {
      throw new UsageException("unknown kind of fault: " + name);
    }
    return kinds;
  }

  static DaemonNode daemon(Cluster cluster, int target) {
    return cluster.daemons().get(target % cluster.daemons().size());
  }

  private static InetSocketAddress endpoint(Cluster cluster, EndpointKind kind, int target) {
    List<EndpointNode> nodes = cluster.endpoints(kind);
    return nodes.get(target % nodes.size()).address();
  }

  private static void setPeerFault(Cluster cluster, int target, ProxyFault fault) {
    DaemonNode daemon = daemon(cluster, target);
    for (DaemonNode peer : cluster.daemons()) {
      if (peer != daemon) {
        cluster.proxies().toPeer(daemon.id(), peer.id()).set(fault);
        cluster.proxies().toPeer(peer.id(), daemon.id()).set(fault);
      }
    }
  }
}
