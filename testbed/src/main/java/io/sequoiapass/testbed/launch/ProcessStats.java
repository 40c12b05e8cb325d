package io.sequoiapass.testbed.launch;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Tells what a process has used so far, as the kernel counts it.
 *
 * @param cpuMillis processor time in user and system mode, in milliseconds
 * @param residentKb memory in RAM now, in KB
 * @param peakResidentKb the most it had in RAM, in KB
 * @param threads its threads
 */
public record ProcessStats(long cpuMillis, long residentKb, long peakResidentKb, int threads) {

  /** Length of a tick in /proc; fixed at 100 a second for all user space on Linux. */
  private static final int MILLIS_PER_TICK = 10;

  private static final int USER_TICKS = 11;
  private static final int SYSTEM_TICKS = 12;

  static ProcessStats of(long pid) throws IOException {
    Path directory = Path.of("/proc", Long.toString(pid));
    String stat = Files.readString(directory.resolve("stat"));
    // The command's name in parentheses may hold spaces, so fields are counted from behind it.
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
    long ticks = Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[SYSTEM_TICKS]);
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
