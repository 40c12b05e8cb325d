package io.sequoiapass.gateway.process;

import io.sequoiapass.gateway.spi.SettingsException;
import java.util.Map;

/**
 * The parts that an operator switches on, the same at all daemons. Instances are immutable.
 *
 * @param spills whether demand goes to other data centres by plan, see {@link SpillPlan}
 */
record GatewayOptions(boolean spills) {

  /** Nothing is switched on. */
  static final GatewayOptions NONE = new GatewayOptions(false);

  private static final String SPILL_VARIABLE = "SEQUOIAPASS_SPILL";

  /**
   * Reads the options.
   *
   * @param environment the environment variables of the process
   * @throws SettingsException if one has another value than true or false
   */
  static GatewayOptions of(Map<String, String> environment) throws SettingsException {
    return new GatewayOptions(flag(environment, SPILL_VARIABLE));
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
