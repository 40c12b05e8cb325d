package io.sequoiapass.testbed.launch;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Resource usage of a process as reported by {@code /proc}.
 *
 * @param cpuMillis processor time in user and system mode, in milliseconds
 * @param residentKb resident set size in KB
 * @param peakResidentKb peak resident set size in KB
 * @param threads number of threads
 */
public record ProcessStats(long cpuMillis, long residentKb, long peakResidentKb, int threads) {

  /** Length of a clock tick in /proc; Linux reports 100 ticks a second to all of user space. */
  private static final int MILLIS_PER_TICK = 10;

  private static final int USER_TICKS_FIELD = 11;
  private static final int SYSTEM_TICKS_FIELD = 12;

  static ProcessStats of(long pid) throws IOException {
    Path directory = Path.of("/proc", Long.toString(pid));
    String stat = Files.readString(directory.resolve("stat"));
    // The command name in parentheses may contain spaces, so fields are counted after it.
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
    long ticks =
        Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[SYSTEM_TICKS_FIELD]);
    List<String> status = Files.readAllLines(directory.resolve("status"));
    return new ProcessStats(
        ticks * MILLIS_PER_TICK,
        number(status, "VmRSS:"),
        number(status, "VmHWM:"),
        (int) number(status, "Threads:"));
  }

  private static long number(List<String> status, String field) {
    return status.stream()
        .filter(line -> line.startsWith(field))
        .map(line -> line.replaceAll("[^0-9]", ""))
        .mapToLong(Long::parseLong)
        .findFirst()
        .orElse(0);
  }
}
