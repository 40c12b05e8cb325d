package io.sequoiapass.testbed.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reports the load of the machine, since results from a busy machine are not reliable. */
final class MachineLoad {

  private MachineLoad() {}

  /** Returns the load averages and the number of processors as one line. */
  static String line() throws IOException {
    String averages = Files.readString(Path.of("/proc/loadavg")).trim();
    return "load averages "
        + averages
        + ", "
        + Runtime.getRuntime().availableProcessors()
        + " CPUs";
  }

  /** Returns the load average of the last minute. */
  static String recent() throws IOException {
    return Files.readString(Path.of("/proc/loadavg")).split(" ", 2)[0];
  }
}
