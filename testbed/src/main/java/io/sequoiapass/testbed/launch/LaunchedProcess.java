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
 * Is one process that the launcher started.
 *
 * <p>Safe for use by several threads.
 */
public final class LaunchedProcess implements AutoCloseable {

  private static final String READY = "ready ";
  private static final long END_SECONDS = 10;
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

  /** Returns the process's number. */
  public long pid() {
    return process.pid();
  }

  /** Returns whether it runs, paused or not. */
  public boolean alive() {
    return process.isAlive();
  }

  /**
   * Waits until the process listens.
   *
   * @param limitMs how long to wait at most, in milliseconds
   * @throws IOException if it ended or was not ready in time; the message holds its last lines
   * @throws InterruptedException if the wait is interrupted
   */
  public void awaitReady(long limitMs) throws IOException, InterruptedException {
    try {
      ready.get(limitMs, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException(name + " did not become ready:\n" + lastErrors(), e);
    }
  }

  /**
   * Returns a port of the line that told the process was ready.
   *
   * @param key the port's name in that line, as {@code caller}
   */
  public int port(String key) {
    Map<String, Integer> ports = ready.getNow(Map.of());
    Integer port = ports.get(key);
    if (port == null) {
      throw new IllegalStateException(name + " told no port '" + key + "': " + ports);
    }
    return port;
  }

  /** Returns the last lines of its log. */
  public String lastErrors() {
    try {
      List<String> lines = Files.readAllLines(errors);
      return String.join("\n", lines.subList(Math.max(0, lines.size() - TAIL_LINES), lines.size()));
    } catch (IOException e) {
      return "no log: " + e.getMessage();
    }
  }

  /**
   * Returns what the process has used so far.
   *
   * @throws IOException if the process has ended
   */
  public ProcessStats stats() throws IOException {
    return ProcessStats.of(pid());
  }

  /** Asks it to stop (SIGTERM). */
  public void stop() {
    process.destroy();
  }

  /** Ends it at once (SIGKILL), paused or not. */
  public void kill() {
    process.destroyForcibly();
  }

  /**
   * Pauses it (SIGSTOP): its connections stay open and nobody answers on them.
   *
   * @throws IOException if the signal cannot be sent
   * @throws InterruptedException if the wait for it is interrupted
   */
  public void pause() throws IOException, InterruptedException {
    signal("STOP");
  }

  /**
   * Lets it go on after a pause (SIGCONT).
   *
   * @throws IOException if the signal cannot be sent
   * @throws InterruptedException if the wait for it is interrupted
   */
  public void resume() throws IOException, InterruptedException {
    signal("CONT");
  }

  /**
   * Tells it to read its settings again (SIGHUP).
   *
   * @throws IOException if the signal cannot be sent
   * @throws InterruptedException if the wait for it is interrupted
   */
  public void reload() throws IOException, InterruptedException {
    signal("HUP");
  }

  private void signal(String signal) throws IOException, InterruptedException {
    if (!alive()) {
      throw new IOException(name + " has ended");
    }
    Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).start();
    if (!kill.waitFor(END_SECONDS, TimeUnit.SECONDS) || kill.exitValue() != 0) {
      throw new IOException("cannot send " + signal + " to " + name);
    }
  }

  /**
   * Waits until it has ended and returns its exit code.
   *
   * @param limitMs how long to wait at most, in milliseconds
   * @throws IOException if it still runs then
   * @throws InterruptedException if the wait is interrupted
   */
  public int awaitExit(long limitMs) throws IOException, InterruptedException {
    if (!process.waitFor(limitMs, TimeUnit.MILLISECONDS)) {
      throw new IOException(name + " still runs after " + limitMs + " ms");
    }
    return process.exitValue();
  }

  /** Ends it and waits until it has ended. */
  @Override
  public void close() {
    kill();
    try {
      process.waitFor(END_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
