package io.sequoiapass.testbed.launch;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * A process started by {@link ProcessLauncher}.
 *
 * <p>Safe for use by several threads.
 */
public final class LaunchedProcess implements AutoCloseable {

  private static final String READY = "ready ";
  private static final long EXIT_TIMEOUT_S = 10;
  private static final int TAIL_LINES = 20;

  private final String name;
  private final Process process;
  private final Path errors;
  private final CompletableFuture<Map<String, Integer>> ready = new CompletableFuture<>();

  LaunchedProcess(String name, Process process, Path errors) {
    this.name = name;
    this.process = process;
    this.errors = errors;
    Thread reader = new Thread(this::readOutput, "output of " + name);
    reader.setDaemon(true);
    reader.start();
  }

  private void readOutput() {
    try (BufferedReader lines =
        new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        if (line.startsWith(READY)) {
          ready.complete(ports(line.substring(READY.length())));
        }
      }
    } catch (IOException | UncheckedIOException | NumberFormatException e) {
      ready.completeExceptionally(e);
    }
    ready.completeExceptionally(new IOException(name + " ended before it was ready"));
  }

  private static Map<String, Integer> ports(String words) {
    Map<String, Integer> ports = new HashMap<>();
    for (String word : words.trim().split(" ", -1)) {
      int equals = word.indexOf('=');
      if (equals > 0) {
        ports.put(word.substring(0, equals), Integer.valueOf(word.substring(equals + 1)));
      }
    }
    return ports;
  }

  /** Returns the process's name in the cluster. */
  public String name() {
    return name;
  }

  /** Returns the process id. */
  public long pid() {
    return process.pid();
  }

  /** Returns whether the process is alive, paused or not. */
  public boolean alive() {
    return process.isAlive();
  }

  /**
   * Waits until the process is listening.
   *
   * @param limitMs maximum wait in milliseconds
   * @throws IOException if the process ended or was not ready in time; the message contains the
   *     last lines of its log
   * @throws InterruptedException if the wait is interrupted
   */
  public void awaitReady(long limitMs) throws IOException, InterruptedException {
    try {
      ready.get(limitMs, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException(name + " did not become ready:\n" + logTail(), e);
    }
  }

  /**
   * Returns a port from the ready line of the process.
   *
   * @param key the port's name in that line, for example {@code caller}
   */
  public int port(String key) {
    Map<String, Integer> ports = ready.getNow(Map.of());
    Integer port = ports.get(key);
    if (port == null) {
      throw new IllegalStateException(name + " reported no port '" + key + "': " + ports);
    }
    return port;
  }

  /** Returns the last lines of its log. */
  public String logTail() {
    try {
      List<String> lines = Files.readAllLines(errors);
      return String.join("\n", lines.subList(Math.max(0, lines.size() - TAIL_LINES), lines.size()));
    } catch (IOException e) {
      return "no log: " + e.getMessage();
    }
  }

  /**
   * Returns the resource usage of the process.
   *
   * @throws IOException if the process has ended
   */
  public ProcessStats stats() throws IOException {
    return ProcessStats.of(pid());
  }

  /** Requests a stop (SIGTERM). */
  public void stop() {
    process.destroy();
  }

  /** Kills the process (SIGKILL), paused or not. */
  public void kill() {
    process.destroyForcibly();
  }

  /**
   * Pauses the process (SIGSTOP); its connections stay open but receive no answers.
   *
   * @throws IOException if the signal cannot be sent
   * @throws InterruptedException if the wait for the signal is interrupted
   */
  public void pause() throws IOException, InterruptedException {
    signal("STOP");
  }

  /**
   * Resumes the process after a pause (SIGCONT).
   *
   * @throws IOException if the signal cannot be sent
   * @throws InterruptedException if the wait for the signal is interrupted
   */
  public void resume() throws IOException, InterruptedException {
    signal("CONT");
  }

  /**
   * Requests a reload of its settings (SIGHUP).
   *
   * @throws IOException if the signal cannot be sent
   * @throws InterruptedException if the wait for the signal is interrupted
   */
  public void reload() throws IOException, InterruptedException {
    signal("HUP");
  }

  private void signal(String signal) throws IOException, InterruptedException {
    if (!alive()) {
      throw new IOException(name + " has ended");
    }
    Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).start();
    if (!kill.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS) || kill.exitValue() != 0) {
      throw new IOException("cannot send " + signal + " to " + name);
    }
  }

  /**
   * Waits for the process to end and returns its exit code.
   *
   * @param limitMs maximum wait in milliseconds
   * @throws IOException if the process is still running after that time; the message contains the
   *     last lines of its log
   * @throws InterruptedException if the wait is interrupted
   */
  public int awaitExit(long limitMs) throws IOException, InterruptedException {
    if (!process.waitFor(limitMs, TimeUnit.MILLISECONDS)) {
      throw new IOException(name + " is still running after " + limitMs + " ms:\n" + logTail());
    }
    return process.exitValue();
  }

  /** Kills the process and waits for it to end, 10 s at most. */
  @Override
  public void close() {
    kill();
    try {
      process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
