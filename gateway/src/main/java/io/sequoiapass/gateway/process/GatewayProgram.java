package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.daemon.ReloadSignal;
import io.sequoiapass.daemon.process.command.ServeProgram;
import io.sequoiapass.gateway.spi.Deployment;
import io.sequoiapass.gateway.spi.HostSettings;
import io.sequoiapass.gateway.spi.SettingsException;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.ServiceLoader;
import java.util.concurrent.Semaphore;

/** The command that runs the gateway. Safe for use by several threads. */
public final class GatewayProgram implements ServeProgram {

  private static final int BUFFER_BYTES = 8 << 10;

  @Override
  public void serve(OptionalInt metricsPort, Map<String, String> environment)
      throws ServeException {
    Optional<Deployment> deployment = ServiceLoader.load(Deployment.class).findFirst();
    if (deployment.isEmpty()) {
      throw new ServeException("this binary was built without a platform", null);
    }
    Semaphore reloads = new Semaphore(0);
    ReloadSignal.onRequest(reloads::release);
    try {
      HostSettings settings = deployment.get().settings(environment);
      run(deployment.get(), settings, metricsPort, environment, reloads);
    } catch (SettingsException | IOException e) {
      throw new ServeException(e.getMessage(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void run(
      Deployment deployment,
      HostSettings settings,
      OptionalInt metricsPort,
      Map<String, String> environment,
      Semaphore reloads)
      throws IOException, InterruptedException, SettingsException {
    GatewayOptions options = GatewayOptions.of(metricsPort, environment);
    PrintStream out =
        new PrintStream(
            new java.io.BufferedOutputStream(
                new FileOutputStream(FileDescriptor.out), BUFFER_BYTES),
            false,
            StandardCharsets.UTF_8);
    DecisionLog log = DecisionLog.start(settings.daemon().value(), MillisClock.wall(), out);
    log.event("started")
        .with("data_centre", settings.dataCentre())
        .with("callers", settings.callers())
        .with("store", settings.store())
        .write();
    Gateway gateway = Gateway.start(deployment, settings, options, log);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(gateway), "stop"));
    while (true) {
      reloads.acquire();
      reloads.drainPermits();
      reload(deployment, environment, log);
    }
  }

  /** Reloads the settings; the addresses of a running process do not change. */
  private static void reload(
      Deployment deployment, Map<String, String> environment, DecisionLog log) {
    try {
      HostSettings settings = deployment.settings(environment);
      log.event("reloaded").with("data_centre", settings.dataCentre()).write();
    } catch (SettingsException e) {
      log.event("reload_failed").with("cause", e.getMessage()).write();
    }
  }

  /** Drains the gateway in the shutdown hook; the JVM exits once this returns. */
  private static void stop(Gateway gateway) {
    try {
      gateway.drain();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
