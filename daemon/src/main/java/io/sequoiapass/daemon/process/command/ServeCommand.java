package io.sequoiapass.daemon.process.command;

import io.sequoiapass.daemon.process.settings.SettingsException;
import java.util.OptionalInt;
import java.util.ServiceLoader;

/** Runs the daemon of the deployment that this program was built for. */
final class ServeCommand {

  private static final long MAX_PORT = (1 << Character.SIZE) - 1;

  private ServeCommand() {}

  static ExitCode run(Invocation invocation) throws CommandException, SettingsException {
    OptionalInt port =
        invocation.has(CommandFlag.METRICS_PORT)
            ? OptionalInt.of((int) invocation.number(CommandFlag.METRICS_PORT, 1, MAX_PORT))
            : OptionalInt.empty();
    ServeProgram program =
        ServiceLoader.load(ServeProgram.class)
            .findFirst()
            .orElseThrow(
                () ->
                    new CommandException(
                        ExitCode.FAILED, "this program contains no daemon to serve"));
    try {
      program.serve(port, invocation.environment());
      return ExitCode.OK;
    } catch (ServeProgram.ServeException e) {
      throw new CommandException(ExitCode.FAILED, e.getMessage());
    }
  }
}
