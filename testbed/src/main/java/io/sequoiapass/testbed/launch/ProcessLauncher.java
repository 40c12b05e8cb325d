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
 * Starts Java processes from this process's own class path and ends them all when it is closed.
 *
 * <pre>{@code
 * try (ProcessLauncher launcher = ProcessLauncher.create()) {
 *   LaunchedProcess engine = launcher.start("e1", "io.sequoiapass.testbed.Testbed", "engine");
 *   engine.awaitReady(10_000);
 * }
 * }</pre>
 *
 * <p>Should this process be ended without a close, a shutdown hook ends the others. Safe for use by
 * several threads.
 */
public final class ProcessLauncher implements AutoCloseable {

  /** Those of the daemon's own launcher, and a bound: many processes run on one machine. */
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
  private final Thread hook = new Thread(this::endAllAndClean, "end launched processes");
  private boolean closed;

  private ProcessLauncher(Path logs) {
    this.logs = logs;
    Runtime.getRuntime().addShutdownHook(hook);
  }

  /**
   * Returns a launcher whose processes log into a temporary directory, deleted on close.
   *
   * @throws IOException if the directory cannot be made
   */
  public static ProcessLauncher create() throws IOException {
    return new ProcessLauncher(Files.createTempDirectory("sequoiapass-testbed"));
  }

  /**
   * Starts a process and returns at once.
   *
   * @param name its name, also of its log
   * @param mainClass the class to run
   * @param arguments the arguments of its main method
   * @throws IOException if it cannot be started
   */
  public LaunchedProcess start(String name, String mainClass, String... arguments)
      throws IOException {
    return start(name, List.of(), mainClass, List.of(arguments));
  }

  /**
   * Starts a process with further flags of the virtual machine and returns at once.
   *
   * @param name its name, also of its log
   * @param jvmFlags flags after the ordinary ones, which they override
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
   * Starts a process with further environment variables and returns at once.
   *
   * @param name its name, also of its log
   * @param jvmFlags flags after the ordinary ones, which they override
   * @param environment variables besides those of this process
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

  /** Returns where the processes log. */
  public Path logs() {
    return logs;
  }

  private synchronized void endAll() {
    closed = true;
    processes.forEach(LaunchedProcess::kill);
    processes.forEach(LaunchedProcess::close);
  }

  private void endAllAndClean() {
    endAll();
    deleteLogs();
  }

  @Override
  public void close() {
    endAll();
    try {
      Runtime.getRuntime().removeShutdownHook(hook);
    } catch (IllegalStateException shuttingDown) {
      // The hook runs already, and cleans up as well.
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
