package io.sequoiapass.daemon.process.command;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import com.google.gson.JsonSyntaxException;
import io.sequoiapass.coordination.OperationId;
import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.daemon.connection.HttpFailure;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/**
 * Reads and writes objects of the platform, one call at a time.
 *
 * <p>A write whose answer was lost is sent again with the same operation id. Without that id the
 * second attempt would meet a conflict with the first one, and the operator would be told that his
 * change was refused while it is in force. A conflict whose current object carries our operation id
 * is our own change; nobody else can carry it, so that is enough.
 *
 * <p>Not safe for use by several threads.
 */
final class PlatformClient {

  private static final int ATTEMPTS = 5;
  private static final long FIRST_PAUSE_MS = 100;
  private static final long LONGEST_PAUSE_MS = 5_000;
  private static final int CONFLICT = 409;
  private static final int NOT_FOUND = 404;
  private static final int TOO_MANY = 429;
  private static final int UNAVAILABLE = 503;
  private static final Gson GSON = new Gson();

  private final CommandClient client;
  private final InetSocketAddress address;

  PlatformClient(CommandClient client, InetSocketAddress address) {
    this.client = client;
    this.address = address;
  }

  /** Names the fields of a list's answer. */
  private record Listing(long revision, List<PlatformObject> items) {}

  /** Names the fields of a conflict's answer. */
  private record Conflict(String error, PlatformObject current) {}

  List<PlatformObject> list(ObjectKind kind) throws CommandException {
    HttpAnswer answer = read("/v1/objects/" + kind.word());
    if (!answer.ok()) {
      throw refused(answer, "list " + kind.word());
    }
    Listing listing = parse(answer, Listing.class);
    if (listing.items() == null) {
      throw new CommandException(ExitCode.FAILED, "platform answered no list: " + answer.text());
    }
    return listing.items();
  }

  Optional<PlatformObject> find(ObjectKind kind, String name) throws CommandException {
    HttpAnswer answer = read(path(kind, name));
    if (answer.status() == NOT_FOUND) {
      return Optional.empty();
    }
    if (!answer.ok()) {
      throw refused(answer, "read " + kind.word() + " " + name);
    }
    return Optional.of(parse(answer, PlatformObject.class));
  }

  /** Writes a value if the object still has the version given. */
  void put(ObjectKind kind, String name, JsonObject value, long version, OperationId operation)
      throws CommandException {
    write(call("PUT", kind, name, version, operation).body(value.toString()), operation);
  }

  /** Deletes an object if it still has the version given. */
  void delete(ObjectKind kind, String name, long version, OperationId operation)
      throws CommandException {
    write(call("DELETE", kind, name, version, operation), operation);
  }

  private HttpCall call(
      String method, ObjectKind kind, String name, long version, OperationId operation) {
    return HttpCall.to(address, method, path(kind, name))
        .header("If-Match", Long.toString(version))
        .header("Operation-Id", operation.value());
  }

  private HttpAnswer read(String path) throws CommandException {
    HttpCall call = HttpCall.to(address, "GET", path);
    String last = "";
    for (int attempt = 1; attempt <= ATTEMPTS; attempt++) {
      try {
        HttpAnswer answer = client.send(call);
        if (!passing(answer)) {
          return answer;
        }
        last = "status " + answer.status();
        pause(attempt, answer);
      } catch (HttpFailure e) {
        last = e.getMessage();
        pause(attempt, null);
      }
    }
    throw new CommandException(ExitCode.UNREACHABLE, "platform " + address + ": " + last);
  }

  private void write(HttpCall call, OperationId operation) throws CommandException {
    boolean uncertain = false;
    String last = "";
    for (int attempt = 1; attempt <= ATTEMPTS; attempt++) {
      try {
        HttpAnswer answer = client.send(call);
        if (!passing(answer)) {
          settle(call, answer, operation, uncertain);
          return;
        }
        // An overloaded platform may answer so after the change took effect.
        uncertain |= answer.status() == UNAVAILABLE;
        last = "status " + answer.status();
        pause(attempt, answer);
      } catch (HttpFailure e) {
        uncertain |= e.mayHaveReached();
        last = e.getMessage();
        pause(attempt, null);
      }
    }
    String effect = uncertain ? "it may have taken effect" : "it took no effect";
    throw new CommandException(
        ExitCode.UNREACHABLE, "platform " + address + ": " + last + "; " + effect);
  }

  /** Ends a write that got a final answer: returns if it took effect, throws if not. */
  private static void settle(
      HttpCall call, HttpAnswer answer, OperationId operation, boolean uncertain)
      throws CommandException {
    if (answer.ok()) {
      return;
    }
    if (answer.status() == NOT_FOUND && uncertain) {
      // Only a delete gets here: the lost answer was that of our own.
      return;
    }
    if (answer.status() != CONFLICT) {
      throw refused(answer, call.toString());
    }
    PlatformObject current = parse(answer, Conflict.class).current();
    if (current != null && operation.value().equals(current.operation())) {
      return;
    }
    String found =
        current == null
            ? "the object is gone"
            : "it is at version " + current.version() + " by operation " + current.operation();
    String before = uncertain ? "; this change may have been in force before that" : "";
    throw new CommandException(ExitCode.CONFLICT, "another change came first: " + found + before);
  }

  private static boolean passing(HttpAnswer answer) {
    return answer.status() == TOO_MANY || answer.status() == UNAVAILABLE;
  }

  private void pause(int attempt, HttpAnswer answer) throws CommandException {
    if (attempt == ATTEMPTS) {
      return;
    }
    long pauseMs = FIRST_PAUSE_MS << (attempt - 1);
    if (answer != null && answer.headers().get("Retry-After") != null) {
      pauseMs = Math.max(pauseMs, retryAfterMs(answer.headers().get("Retry-After")));
    }
    client.pause(Math.min(pauseMs, LONGEST_PAUSE_MS));
  }

  private static long retryAfterMs(String seconds) {
    try {
      return (long) (Double.parseDouble(seconds) * 1_000);
    } catch (NumberFormatException e) {
      return FIRST_PAUSE_MS;
    }
  }

  private static CommandException refused(HttpAnswer answer, String what) {
    return new CommandException(
        ExitCode.FAILED,
        "platform refused to " + what + ": status " + answer.status() + " " + answer.text());
  }

  private static <T> T parse(HttpAnswer answer, Class<T> type) throws CommandException {
    try {
      T parsed = GSON.fromJson(answer.text(), type);
      if (parsed != null) {
        return parsed;
      }
    } catch (JsonSyntaxException e) {
      throw new CommandException(
          ExitCode.FAILED, "platform answered no JSON of ours: " + e.getMessage());
    }
    throw new CommandException(ExitCode.FAILED, "platform answered an empty body");
  }

  private static String path(ObjectKind kind, String name) {
    return "/v1/objects/" + kind.word() + "/" + URLEncoder.encode(name, StandardCharsets.UTF_8);
  }
}
