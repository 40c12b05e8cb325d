package io.sequoiapass.testbed.launch;

import io.sequoiapass.testbed.cli.Addresses;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * An engine or an endpoint of the plain service; its port stays the same when its process is
 * restarted.
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
    this.port = ports.allocate();
  }

  /** Type of an endpoint; the configuration uses the same names. */
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

  /** Returns the data centre it runs in. */
  public String dataCentre() {
    return dataCentre;
  }

  /** Returns the host it runs on. */
  public String host() {
    return "host-" + id;
  }

  /** Returns its type. */
  public EndpointKind kind() {
    return kind;
  }

  /** Returns its own address, bypassing any proxy; used for faults and audits. */
  public InetSocketAddress address() {
    return Addresses.loopback(port);
  }

  /** Returns its current process. */
  public LaunchedProcess process() {
    return process;
  }

  void process(LaunchedProcess next) {
    process = next;
  }
}
