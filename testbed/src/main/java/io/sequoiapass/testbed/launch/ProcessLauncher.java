package io.sequoiapass.testbed.launch;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Starts Java processes with the class path of this process and kills them when it is closed.
 *
 * <pre>{@code
 * try (ProcessLauncher launcher = ProcessLauncher.create()) {
 *   LaunchedProcess engine = launcher.start("e1", "io.sequoiapass.testbed.Testbed", "engine");
 *   engine.awaitReady(10_000);
 * }
 * }</pre>
 *
 * <p>A shutdown hook kills the processes if this process exits without a close. Safe for use by
 * several threads.
 */
public final class ProcessLauncher implements AutoCloseable {

  /**
   * The flags of the daemon's own start script, plus a heap limit because many processes share one
   * machine.
   */
  private static final List<String> JVM_FLAGS =
      List.of(
          "-XX:-UsePerfData",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-Xss256k",
          "-Xms16m",
          "-Xmn8m",
          "-Xmx96m",
          "-Xshare:auto");

  private final Path logs;
  private final List<LaunchedProcess> processes = new ArrayList<>();
  private final Thread hook = new Thread(this::killAllAndDeleteLogs, "end launched processes");
  private boolean closed;

  private ProcessLauncher(Path logs) {
    this.logs = logs;
    Runtime.getRuntime().addShutdownHook(hook);
  }

  /**
   * Returns a launcher whose processes log into a temporary directory, deleted on close.
   *
   * @throws IOException if the directory cannot be created
   */
  public static ProcessLauncher create() throws IOException {
    return new ProcessLauncher(Files.createTempDirectory("sequoiapass-testbed"));
  }

  /**
   * Starts a process and returns without waiting for it to become ready.
   *
   * @param name name of the process and of its log file
   * @param mainClass the class to run
   * @param arguments the arguments of its main method
   * @throws IOException if it cannot be started
   */
  public LaunchedProcess start(String name, String mainClass, String... arguments)
      throws IOException {
    return start(name, List.of(), mainClass, List.of(arguments));
  }

  /**
   * Starts a process with additional JVM flags and returns without waiting for it.
   *
   * @param name name of the process and of its log file
   * @param jvmFlags JVM flags that follow and override the default ones
   * @param mainClass the class to run
   * @param arguments the arguments of its main method
   * @throws IOException if it cannot be started
   */
  public LaunchedProcess start(
      String name, List<String> jvmFlags, String mainClass, List<String> arguments)
      throws IOException {
    return start(name, jvmFlags, Map.of(), mainClass, arguments);
  }

  /**
   * Starts a process with additional environment variables and returns without waiting for it.
   *
   * @param name name of the process and of its log file
   * @param jvmFlags JVM flags that follow and override the default ones
   * @param environment variables in addition to those of this process
   * @param mainClass the class to run
   * @param arguments the arguments of its main method
   * @throws IOException if it cannot be started
   */
  public synchronized LaunchedProcess start(
      String name,
      List<String> jvmFlags,
      Map<String, String> environment,
      String mainClass,
      List<String> arguments)
      throws IOException {
    if (closed) {
      throw new IOException("the launcher is closed");
    }
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(JVM_FLAGS);
    command.addAll(jvmFlags);
    command.add("-cp");
    command.add(System.getProperty("java.class.path"));
    command.add(mainClass);
    command.addAll(arguments);
    Path errors = logs.resolve(name + ".log");
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectError(ProcessBuilder.Redirect.appendTo(errors.toFile()));
    builder.environment().putAll(environment);
    LaunchedProcess process = new LaunchedProcess(name, builder.start(), errors);
    processes.add(process);
    return process;
  }

  /** Returns the directory of the log files. */
  public Path logs() {
    return logs;
  }

  private synchronized void killAll() {
    closed = true;
    processes.forEach(LaunchedProcess::kill);
    processes.forEach(LaunchedProcess::close);
  }

  private void killAllAndDeleteLogs() {
    killAll();
    deleteLogs();
  }

  @Override
  public void close() {
    killAll();
    try {
      Runtime.getRuntime().removeShutdownHook(hook);
    } catch (IllegalStateException shuttingDown) {
      // The shutdown hook is running and deletes the logs.
      return;
    }
    deleteLogs();
  }

  private void deleteLogs() {
    try (Stream<Path> files = Files.walk(logs)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    } catch (IOException e) {
      System.err.println("cannot delete " + logs + ": " + e.getMessage());
    }
  }
}
