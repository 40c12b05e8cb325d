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
    Gateway gateway = Gateway.start(deployment, settings, options, log);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(gateway), "stop"));
    reload.run(gateway::apply, log);
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
