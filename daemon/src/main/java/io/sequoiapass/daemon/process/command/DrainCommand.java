package io.sequoiapass.daemon.process.command;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.sequoiapass.coordination.OperationId;
import io.sequoiapass.coordination.version.EndpointState;
import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.daemon.connection.HttpFailure;
import io.sequoiapass.daemon.connection.platform.StoredObject;
import io.sequoiapass.daemon.process.settings.SettingsException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

/** Drains an endpoint or a daemon without cutting off a request. */
final class DrainCommand {

  /** An attempt fails only on a concurrent change of the same endpoint. */
  private static final int CONFLICT_ATTEMPTS = 5;

  private DrainCommand() {}

  static ExitCode run(Invocation invocation) throws CommandException, SettingsException {
    List<String> words = invocation.words(2, 2, Command.DRAIN.usage());
    return switch (words.get(0)) {
      case "endpoint" -> drainEndpoint(invocation, words.get(1));
      case "daemon" -> drainDaemon(invocation, words.get(1));
      default ->
          throw SettingsException.wrongValue("what to drain", words.get(0), "endpoint or daemon");
    };
  }

  private static ExitCode drainEndpoint(Invocation invocation, String name)
      throws CommandException, SettingsException {
    EndpointState state =
        invocation.has(CommandFlag.UNDO) ? EndpointState.ACTIVE : EndpointState.LEAVING;
    InetSocketAddress address = invocation.platform();
    try (CommandClient client = new CommandClient(invocation.timeoutMs())) {
      PlatformSession platform = new PlatformSession(client, address);
      setState(platform, name, state);
      invocation.out().println("endpoint " + name + " is " + state);
      return ExitCode.OK;
    }
  }

  /**
   * Sets the state and keeps all other members. After a conflict, the object is read again: the
   * concurrent change may have modified other members, and overwriting them would undo it.
   */
  private static void setState(PlatformSession platform, String name, EndpointState state)
      throws CommandException {
    for (int attempt = 1; attempt < CONFLICT_ATTEMPTS; attempt++) {
      try {
        trySetState(platform, name, state);
        return;
      } catch (CommandException e) {
        if (e.exitCode() != ExitCode.CONFLICT) {
          throw e;
        }
      }
    }
    trySetState(platform, name, state);
  }

  private static void trySetState(PlatformSession platform, String name, EndpointState state)
      throws CommandException {
    Optional<StoredObject> found = platform.find(PlatformKind.ENDPOINT, name);
    if (found.isEmpty()) {
      throw new CommandException(ExitCode.FAILED, "the platform holds no endpoint '" + name + "'");
    }
    JsonObject value = found.get().value().deepCopy();
    JsonElement before = value.get(ObjectFormat.STATE);
    if (before != null && before.getAsString().equals(state.name())) {
      return;
    }
    value.addProperty(ObjectFormat.STATE, state.name());
    OperationId operation = new OperationId("drain-" + UUID.randomUUID());
    platform.put(PlatformKind.ENDPOINT, name, value, found.get().version(), operation);
  }

  private static ExitCode drainDaemon(Invocation invocation, String name)
      throws CommandException, SettingsException {
    if (invocation.has(CommandFlag.UNDO)) {
      throw SettingsException.wrongValue("--undo", "daemon", "only with endpoint");
    }
    List<InetSocketAddress> operators = invocation.operators();
    try (CommandClient client = new CommandClient(invocation.timeoutMs())) {
      OperatorClient operator = new OperatorClient(client);
      InetSocketAddress address = operator.find(operators, name);
      HttpAnswer answer = client.send(HttpCall.to(address, "POST", "/drain"));
      if (!answer.ok()) {
        throw new CommandException(
            ExitCode.CONFLICT,
            "daemon " + name + " refused: status " + answer.status() + " " + answer.text());
      }
      invocation.out().println("daemon " + name + " is draining");
      return ExitCode.OK;
    } catch (HttpFailure e) {
      throw new CommandException(
          ExitCode.UNREACHABLE,
          e.getMessage()
              + (e.mayHaveReached() ? "; it may be draining" : "; the drain request was not sent"));
    }
  }
}
