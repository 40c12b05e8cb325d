package io.sequoiapass.testbed.wire;

import java.util.List;

/** Holds the values of the platform's objects that the testbed writes. */
public final class ObjectValues {

  private ObjectValues() {}

  /**
   * Holds an adapter.
   *
   * @param model its base model
   * @param current the version in force
   * @param versions the versions that may be named
   */
  public record Adapter(String model, String current, List<String> versions) {}

  /**
   * Holds a service.
   *
   * @param model the model it uses, or null
   * @param adapters the adapters it may use, "*" for all
   * @param endpoints the endpoints of a plain service, or null
   * @param repeatable whether its calls may run twice
   * @param priority its calls' priority
   * @param maxInFlight its calls at one time
   */
  public record Service(
      String model,
      List<String> adapters,
      List<String> endpoints,
      boolean repeatable,
      String priority,
      int maxInFlight) {}

  /**
   * Holds an endpoint.
   *
   * @param address host:port
   * @param dataCentre where it stands
   * @param host the host it runs on
   * @param type ENGINE or SERVICE
   * @param model an engine's base model, or null
   * @param service the service that an endpoint serves, or null
   * @param slots an engine's adapter slots
   * @param maxStreams streams or calls at one time
   * @param checksFence whether it refuses orders with an old fencing number
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
   * Holds the preset in force.
   *
   * @param preset ORDINARY, PEAK or MAINTENANCE
   * @param effectiveAt when it comes into force, by the wall clock
   */
  public record Preset(String preset, long effectiveAt) {}

  /**
   * Holds the platform's host list.
   *
   * @param hosts the hosts
   */
  public record Hosts(List<Host> hosts) {}

  /**
   * Holds one host of the list.
   *
   * @param host its name
   * @param dataCentre where it stands
   * @param state LIVE or LEAVING
   * @param endpoints the endpoints on it
   */
  public record Host(String host, String dataCentre, String state, List<String> endpoints) {}
}
