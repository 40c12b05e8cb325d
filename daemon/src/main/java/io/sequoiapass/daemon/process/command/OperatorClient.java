package io.sequoiapass.daemon.process.command;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.daemon.connection.HttpFailure;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * Client of the operators' API of daemons.
 *
 * <p>Not safe for use by several threads.
 */
final class OperatorClient {

  private static final String DAEMON = "daemon";

  private final CommandClient client;

  OperatorClient(CommandClient client) {
    this.client = client;
  }

  /** Returns the daemon's status: a JSON object whose member {@code daemon} is its name. */
  JsonObject status(InetSocketAddress address) throws HttpFailure, CommandException {
    HttpAnswer answer = client.send(HttpCall.to(address, "GET", "/status"));
    if (!answer.ok()) {
      throw new CommandException(
          ExitCode.FAILED, "daemon at " + address + " answered status " + answer.status());
    }
    try {
      JsonObject status = JsonParser.parseString(answer.text()).getAsJsonObject();
      if (status.get(DAEMON) instanceof JsonPrimitive) {
        return status;
      }
    } catch (JsonParseException | IllegalStateException e) {
      throw new CommandException(
          ExitCode.FAILED, "daemon at " + address + " sent invalid JSON: " + e.getMessage());
    }
    throw new CommandException(
        ExitCode.FAILED, "daemon at " + address + " did not report its name");
  }

  /** Returns whether the daemon accepts requests. */
  boolean ready(InetSocketAddress address) throws HttpFailure, CommandException {
    return client.send(HttpCall.to(address, "GET", "/ready")).ok();
  }

  static String name(JsonObject status) {
    return status.get(DAEMON).getAsString();
  }

  /** Returns the operator address of the daemon with the given name. */
  InetSocketAddress find(List<InetSocketAddress> addresses, String name) throws CommandException {
    List<String> unresponsive = new ArrayList<>();
    for (InetSocketAddress address : addresses) {
      try {
        if (name(status(address)).equals(name)) {
          return address;
        }
      } catch (HttpFailure e) {
        unresponsive.add(address.toString());
      }
    }
    if (unresponsive.isEmpty()) {
      throw new CommandException(
          ExitCode.FAILED, "none of " + addresses + " is daemon '" + name + "'");
    }
    throw new CommandException(
        ExitCode.UNREACHABLE, "daemon '" + name + "' not found; no answer from " + unresponsive);
  }
}
