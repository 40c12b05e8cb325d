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
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** The command that runs the gateway. Safe for use by several threads. */
public final class GatewayProgram implements ServeProgram {

  private static final int BUFFER_BYTES = 8 << 10;

  /** Longest time that a stop waits for a start, in milliseconds. */
  private static final long START_TIMEOUT_MS = 3_000;

  @Override
  public void serve(OptionalInt metricsPort, Map<String, String> environment)
      throws ServeException {
    Optional<Deployment> deployment = ServiceLoader.load(Deployment.class).findFirst();
    if (deployment.isEmpty()) {
      throw new ServeException("this binary was built without a platform", null);
    }
    SettingsReload reload = new SettingsReload(() -> deployment.get().settings(environment));
    ReloadSignal.onRequest(reload::request);
    try {
      run(deployment.get(), reload, GatewayOptions.of(metricsPort, environment));
    } catch (SettingsException | IOException e) {
      throw new ServeException(e.getMessage(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void run(Deployment deployment, SettingsReload reload, GatewayOptions options)
      throws IOException, InterruptedException, SettingsException {
    HostSettings settings = reload.first();
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
    CompletableFuture<Gateway> started = new CompletableFuture<>();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(started), "stop"));
    try {
      started.complete(Gateway.start(deployment, settings, options, log));
    } finally {
      // No effect unless the start has failed.
      started.cancel(false);
    }
    reload.run(started.join()::apply, log);
  }

  /**
   * Drains the gateway in the shutdown hook; the JVM exits once this returns. A gateway that is
   * still starting may have accepted requests, so its start is awaited.
   */
  private static void stop(CompletableFuture<Gateway> started) {
    try {
      started.get(START_TIMEOUT_MS, TimeUnit.MILLISECONDS).drain();
    } catch (CancellationException | ExecutionException | TimeoutException e) {
      // Nothing is served that could be drained.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
