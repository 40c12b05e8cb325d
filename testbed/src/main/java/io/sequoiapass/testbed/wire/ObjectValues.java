package io.sequoiapass.testbed.wire;

import java.util.List;

/** Values of the platform objects that the testbed writes. */
public final class ObjectValues {

  private ObjectValues() {}

  /**
   * An adapter.
   *
   * @param model its base model
   * @param current the current version
   * @param versions the versions that requests may name
   */
  public record Adapter(String model, String current, List<String> versions) {}

  /**
   * A service.
   *
   * @param model the model it uses, or null
   * @param adapters the adapters it may use, "*" for all
   * @param endpoints the endpoints of a plain service, or null
   * @param repeatable whether its calls may run more than once
   * @param priority priority of its calls
   * @param maxInFlight maximum number of calls in flight
   */
  public record Service(
      String model,
      List<String> adapters,
      List<String> endpoints,
      boolean repeatable,
      String priority,
      int maxInFlight) {}

  /**
   * An endpoint.
   *
   * @param address host:port
   * @param dataCentre its data centre
   * @param host the host it runs on
   * @param type ENGINE or SERVICE
   * @param model an engine's base model, or null
   * @param service the plain service that it serves, or null
   * @param slots an engine's adapter slots, or null
   * @param maxStreams maximum concurrent streams or calls
   * @param checksFence whether it rejects orders with an outdated fencing number
   * @param state ACTIVE or LEAVING
   */
  public record Endpoint(
      String address,
      String dataCentre,
      String host,
      String type,
      String model,
      String service,
      Integer slots,
      int maxStreams,
      boolean checksFence,
      String state) {}

  /**
   * The preset in force.
   *
   * @param preset ORDINARY, PEAK or MAINTENANCE
   * @param effectiveAt wall-clock time at which it takes effect, in milliseconds
   */
  public record Preset(String preset, long effectiveAt) {}

  /**
   * The platform's host list.
   *
   * @param hosts the hosts
   */
  public record Hosts(List<Host> hosts) {}

  /**
   * One host of the list.
   *
   * @param host its name
   * @param dataCentre its data centre
   * @param state LIVE or LEAVING
   * @param endpoints the endpoints on it
   */
  public record Host(String host, String dataCentre, String state, List<String> endpoints) {}
}
