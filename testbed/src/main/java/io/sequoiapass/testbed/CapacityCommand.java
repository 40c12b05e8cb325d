package io.sequoiapass.testbed;

import io.sequoiapass.testbed.capacity.CapacityRun;

/** Measures how state, time and network traffic grow with the size of the fleet. */
final class CapacityCommand implements Command {

  @Override
  public String help() {
    return "prints a table of slopes measured in this process; takes no flags, about 30 s\n";
  }

  @Override
  public int run(String... flags) {
    CapacityRun.run(System.out);
    return 0;
  }
}
