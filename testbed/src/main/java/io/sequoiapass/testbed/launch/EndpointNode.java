package io.sequoiapass.testbed.launch;

import io.sequoiapass.testbed.cli.Addresses;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * Is one engine's or plain service's place in a cluster; its port stays when its process is
 * replaced.
 *
 * <p>Safe for use by several threads.
 */
public final class EndpointNode {

  private final String id;
  private final String dataCentre;
  private final EndpointKind kind;
  private final int port;
  private volatile LaunchedProcess process;

  EndpointNode(String id, String dataCentre, EndpointKind kind, FreePorts ports)
      throws IOException {
    this.id = id;
    this.dataCentre = dataCentre;
    this.kind = kind;
    this.port = ports.take();
  }

  /** Names what an endpoint is; the names are those of the configuration. */
  public enum EndpointKind {
    /** A model engine. */
    ENGINE,
    /** A plain service. */
    SERVICE
  }

  /** Returns the endpoint's name. */
  public String id() {
    return id;
  }

  /** Returns the data centre it stands in. */
  public String dataCentre() {
    return dataCentre;
  }

  /** Returns the host it runs on. */
  public String host() {
    return "host-" + id;
  }

  /** Returns what it is. */
  public EndpointKind kind() {
    return kind;
  }

  /** Returns where it listens, past any proxy: for faults and the judge. */
  public InetSocketAddress address() {
    return Addresses.loopback(port);
  }

  /** Returns its process, the last one after a restart. */
  public LaunchedProcess process() {
    return process;
  }

  void process(LaunchedProcess next) {
    process = next;
  }
}
