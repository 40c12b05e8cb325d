package io.sequoiapass.gateway.process;

import io.sequoiapass.gateway.spi.SettingsException;
import java.util.Map;
import java.util.OptionalInt;

/**
 * What an operator switches on. Instances are immutable.
 *
 * @param metricsPort the port for metrics; empty to serve none
 * @param spills whether demand goes to other data centres by plan, the same at all daemons
 */
public record GatewayOptions(OptionalInt metricsPort, boolean spills) {

  /** Nothing is switched on. */
  public static final GatewayOptions NONE = new GatewayOptions(OptionalInt.empty(), false);

  private static final String SPILL_VARIABLE = "SEQUOIAPASS_SPILL";

  /**
   * Reads the options.
   *
   * @param metricsPort the port for metrics; empty to serve none
   * @param environment the environment variables of the process
   * @throws SettingsException if one has another value than true or false
   */
  static GatewayOptions of(OptionalInt metricsPort, Map<String, String> environment)
      throws SettingsException {
    return new GatewayOptions(metricsPort, flag(environment, SPILL_VARIABLE));
  }

  private static boolean flag(Map<String, String> environment, String variable)
      throws SettingsException {
    String value = environment.getOrDefault(variable, "false");
    if (!value.equals("true") && !value.equals("false")) {
      throw new SettingsException(
          "environment variable " + variable + " is '" + value + "', not true or false");
    }
    return value.equals("true");
  }
}
