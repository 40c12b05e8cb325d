package io.sequoiapass.testbed.launch;

import io.sequoiapass.testbed.cli.Addresses;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * A daemon of a cluster; its ports stay the same when its process is restarted.
 *
 * <p>Safe for use by several threads.
 */
public final class DaemonNode {

  private final String id;
  private final String dataCentre;
  private final int callerPort;
  private final int operatorPort;
  private final int peerPort;
  private volatile LaunchedProcess process;

  DaemonNode(String id, String dataCentre, FreePorts ports) throws IOException {
    this.id = id;
    this.dataCentre = dataCentre;
    this.callerPort = ports.allocate();
    this.operatorPort = ports.allocate();
    this.peerPort = ports.allocate();
  }

  /** Returns the daemon's name. */
  public String id() {
    return id;
  }

  /** Returns the data centre it runs in. */
  public String dataCentre() {
    return dataCentre;
  }

  /** Returns the host it runs on. */
  public String host() {
    return "host-" + id;
  }

  /** Returns the address for callers. */
  public InetSocketAddress callerAddress() {
    return Addresses.loopback(callerPort);
  }

  /** Returns the address for operators. */
  public InetSocketAddress operatorAddress() {
    return Addresses.loopback(operatorPort);
  }

  /** Returns the address for peers. */
  public InetSocketAddress peerAddress() {
    return Addresses.loopback(peerPort);
  }

  /** Returns its current process. */
  public LaunchedProcess process() {
    return process;
  }

  void process(LaunchedProcess next) {
    process = next;
  }
}
