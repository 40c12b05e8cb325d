package io.sequoiapass.testbed;

import io.sequoiapass.testbed.cli.Addresses;
import io.sequoiapass.testbed.cli.Flags;
import io.sequoiapass.testbed.cli.UsageException;
import io.sequoiapass.testbed.proxy.FaultProxy;
import io.sequoiapass.testbed.proxy.ProxyControl;
import java.io.IOException;

/** Runs a fault proxy and its control port until the process is stopped. */
final class ProxyCommand implements Command {

  private static Flags.Definition definition() {
    return Flags.define()
        .flag("listen", "0", "port to listen on, 0 for any free one")
        .flag("target", "127.0.0.1:1", "host:port to forward to")
        .flag("control-port", "0", "port that takes POST /faults, 0 for any free one");
  }

  @Override
  public String help() {
    return definition().help();
  }

  @Override
  public int run(String... arguments) throws UsageException, IOException, InterruptedException {
    Flags flags = definition().parse(arguments);
    int port = flags.integer("listen", 0, 65_535);
    int controlPort = flags.integer("control-port", 0, 65_535);
    FaultProxy proxy = FaultProxy.start(port, Addresses.parse("target", flags.text("target")));
    try (ProxyControl control = ProxyControl.start(proxy, controlPort)) {
      System.out.println("ready port=" + proxy.port() + " control=" + control.port());
      System.out.flush();
      Thread.currentThread().join();
    }
    return 0;
  }
}
