package io.sequoiapass.daemon.process.command;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.sequoiapass.daemon.connection.HttpFailure;
import io.sequoiapass.daemon.process.settings.SettingsException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/** Shows the status of daemons. */
final class StatusCommand {

  private static final Gson GSON =
      new GsonBuilder().disableHtmlEscaping().setPrettyPrinting().create();

  private StatusCommand() {}

  static ExitCode run(Invocation invocation) throws CommandException, SettingsException {
    invocation.words(0, 0, Command.STATUS.usage());
    List<InetSocketAddress> operators = invocation.operators();
    JsonArray answers = new JsonArray();
    ExitCode code = ExitCode.OK;
    try (CommandClient client = new CommandClient(invocation.timeoutMs())) {
      OperatorClient operator = new OperatorClient(client);
      for (InetSocketAddress address : operators) {
        try {
          JsonObject status = operator.status(address);
          boolean ready = operator.ready(address);
          status.addProperty("operators", text(address));
          status.addProperty("ready", ready);
          answers.add(status);
          code = worst(code, ready ? ExitCode.OK : ExitCode.FAILED);
        } catch (HttpFailure e) {
          invocation.err().println(text(address) + ": " + e.getMessage());
          code = worst(code, ExitCode.UNREACHABLE);
        }
      }
    }
    print(invocation, answers);
    return code;
  }

  private static ExitCode worst(ExitCode one, ExitCode other) {
    return one.code() >= other.code() ? one : other;
  }

  private static String text(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }

  private static void print(Invocation invocation, JsonArray answers) {
    PrintStream out = invocation.out();
    if (invocation.has(CommandFlag.JSON)) {
      out.println(GSON.toJson(answers));
      return;
    }
    for (JsonElement answer : answers) {
      JsonObject status = answer.getAsJsonObject();
      out.println(OperatorClient.name(status));
      for (Map.Entry<String, JsonElement> member : status.entrySet()) {
        out.println("  " + member.getKey() + ": " + format(member.getValue()));
      }
    }
  }

  private static String format(JsonElement value) {
    return value.isJsonPrimitive() ? value.getAsString() : value.toString();
  }
}
