package io.sequoiapass.daemon.process.command;

import com.google.gson.JsonObject;
import io.sequoiapass.coordination.OperationId;
import io.sequoiapass.coordination.version.ConditionalWrite;
import io.sequoiapass.coordination.version.WriteAnswer;
import io.sequoiapass.coordination.version.WriteDecision;
import io.sequoiapass.daemon.connection.platform.PlatformClient;
import io.sequoiapass.daemon.connection.platform.PlatformException;
import io.sequoiapass.daemon.connection.platform.StoredObject;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Reads and writes objects of the platform for one command, one call at a time, with a few tries.
 *
 * <p>A write is sent again under the same operation id until its fate is known, as {@link
 * ConditionalWrite} decides: an operator must not be told that his change was refused while it is
 * in force.
 *
 * <p>Not safe for use by several threads.
 */
final class PlatformSession {

  /** The version that stands for an object that does not exist. */
  static final long ABSENT = 0;

  private static final int ATTEMPTS = 5;
  private static final long FIRST_PAUSE_MS = 100;
  private static final long LONGEST_PAUSE_MS = 5_000;

  private final CommandClient client;
  private final InetSocketAddress address;
  private final PlatformClient platform;

  PlatformSession(CommandClient client, InetSocketAddress address) {
    this.client = client;
    this.address = address;
    this.platform = client.platform(address);
  }

  List<StoredObject> list(PlatformKind kind) throws CommandException {
    return read(() -> platform.list(kind.word())).items();
  }

  Optional<StoredObject> find(PlatformKind kind, String name) throws CommandException {
    return read(() -> platform.read(kind.word(), name));
  }

  /** Writes a value if the object still has the version given. */
  void put(PlatformKind kind, String name, JsonObject value, long version, OperationId operation)
      throws CommandException {
    Optional<Refusal> refusal =
        write(
            ConditionalWrite.create(operation, version),
            () -> platform.put(kind.word(), name, value, version, operation));
    if (refusal.isPresent()) {
      throw refusal.get().exception();
    }
  }

  /** Deletes an object if it still has the version given. */
  void delete(PlatformKind kind, String name, long version, OperationId operation)
      throws CommandException {
    Optional<Refusal> refusal =
        write(
            ConditionalWrite.create(operation, version),
            () -> platform.delete(kind.word(), name, version, operation));
    // After a lost answer nothing is left that could carry our operation id, but it is gone.
    if (refusal.isPresent() && !refusal.get().goneAfterLostAnswer()) {
      throw refusal.get().exception();
    }
  }

  private <T> T read(Supplier<CompletableFuture<T>> call) throws CommandException {
    String last = "";
    for (int attempt = 1; attempt <= ATTEMPTS; attempt++) {
      try {
        return client.await(call.get());
      } catch (PlatformException e) {
        last = e.getMessage();
        pause(attempt, e.retryAfterMs());
      }
    }
    throw new CommandException(ExitCode.UNREACHABLE, "platform " + address + ": " + last);
  }

  private Optional<Refusal> write(
      ConditionalWrite write, Supplier<CompletableFuture<WriteAnswer>> call)
      throws CommandException {
    boolean lost = false;
    for (int attempt = 1; attempt <= ATTEMPTS; attempt++) {
      WriteAnswer answer = answer(call);
      WriteDecision decision = write.answered(answer);
      if (decision.isApplied()) {
        return Optional.empty();
      }
      if (answer instanceof WriteAnswer.Conflict conflict) {
        return Optional.of(new Refusal(conflict, decision.maybeOverwritten()));
      }
      lost |= answer instanceof WriteAnswer.Lost;
      pause(attempt, answer instanceof WriteAnswer.Throttled t ? t.retryAfterMillis() : 0);
    }
    String effect = lost ? "; it may have taken effect" : "; it took no effect";
    throw new CommandException(
        ExitCode.UNREACHABLE, "platform " + address + " gives no answer" + effect);
  }

  private WriteAnswer answer(Supplier<CompletableFuture<WriteAnswer>> call)
      throws CommandException {
    try {
      return client.await(call.get());
    } catch (PlatformException e) {
      return new WriteAnswer.Lost();
    }
  }

  private void pause(int attempt, long askedMs) throws CommandException {
    if (attempt < ATTEMPTS) {
      long pauseMs = Math.max(FIRST_PAUSE_MS << (attempt - 1), askedMs);
      client.pause(Math.min(pauseMs, LONGEST_PAUSE_MS));
    }
  }

  /**
   * Holds why a write was refused.
   *
   * @param found what the platform holds instead
   * @param afterLostAnswer whether an answer to the same write was lost before
   */
  private record Refusal(WriteAnswer.Conflict found, boolean afterLostAnswer) {

    boolean goneAfterLostAnswer() {
      return afterLostAnswer && found.version() == ABSENT;
    }

    CommandException exception() {
      String operation = found.operation().map(OperationId::value).orElse("unnamed");
      String what =
          found.version() == ABSENT
              ? "the object is gone"
              : "it is at version " + found.version() + " by operation " + operation;
      String before = afterLostAnswer ? "; this change may have been in force before that" : "";
      return new CommandException(ExitCode.CONFLICT, "another change came first: " + what + before);
    }
  }
}
