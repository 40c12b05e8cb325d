package io.sequoiapass.gateway.process;

import io.sequoiapass.gateway.spi.HostSettings;
import io.sequoiapass.gateway.spi.SettingsException;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Reads the settings of a running daemon again on request, and once a second, since they may change
 * without a request. Settings that cannot be read leave those in force as they are.
 *
 * <pre>{@code
 * SettingsReload reload = new SettingsReload(() -> deployment.settings(environment));
 * ReloadSignal.onRequest(reload::request);
 * HostSettings settings = reload.first();
 * reload.run(gateway::apply, log);
 * }</pre>
 *
 * <p>{@link #request} may be called by any thread, the other methods by one thread.
 */
final class SettingsReload {

  private static final long POLL_MS = 1_000;

  /** Reads the settings. */
  @FunctionalInterface
  interface Source {

    /**
     * Returns the settings as they are now.
     *
     * @throws SettingsException if one is missing or invalid
     */
    HostSettings read() throws SettingsException;
  }

  private final Source source;
  private final Semaphore requests = new Semaphore(0);

  /** What was read last; differs from what is in force where a change takes a restart. */
  private HostSettings current;

  private String problem = "";

  /**
   * Creates a reload that has read nothing.
   *
   * @param source reads the settings
   */
  SettingsReload(Source source) {
    this.source = source;
  }

  /** Requests that the settings are read again. */
  void request() {
    requests.release();
  }

  /**
   * Returns the settings to start with.
   *
   * @throws SettingsException if one is missing or invalid
   */
  HostSettings first() throws SettingsException {
    current = source.read();
    return current;
  }

  /**
   * Applies changes until the thread is interrupted.
   *
   * @param apply applies the settings that take effect without a restart
   * @param log the log
   * @throws InterruptedException if the thread is interrupted
   */
  void run(Consumer<HostSettings> apply, DecisionLog log) throws InterruptedException {
    while (true) {
      boolean requested = requests.tryAcquire(POLL_MS, TimeUnit.MILLISECONDS);
      requests.drainPermits();
      check(requested, apply, log);
    }
  }

  /** Reads the settings; a reload that was requested is logged even if nothing has changed. */
  void check(boolean requested, Consumer<HostSettings> apply, DecisionLog log) {
    try {
      HostSettings next = source.read();
      List<HostSetting> changed = HostSetting.changed(current, next);
      if (!changed.isEmpty()) {
        apply.accept(next);
      }
      current = next;
      problem = "";
      if (requested || !changed.isEmpty()) {
        log.event("reloaded")
            .with("data_centre", next.dataCentre())
            .with("applied", names(changed, true))
            .with("needs_restart", names(changed, false))
            .write();
      }
    } catch (SettingsException | IllegalArgumentException e) {
      failed(requested, String.valueOf(e.getMessage()), log);
    }
  }

  private void failed(boolean requested, String cause, DecisionLog log) {
    if (requested || !cause.equals(problem)) {
      log.event("reload_failed").with("cause", cause).write();
    }
    problem = cause;
  }

  private static String names(List<HostSetting> changed, boolean applied) {
    return changed.stream()
        .filter(setting -> setting.isApplied() == applied)
        .map(HostSetting::toString)
        .collect(Collectors.joining(","));
  }
}
