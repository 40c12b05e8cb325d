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
 * Reads and writes of platform objects for one command, one call at a time, with retries.
 *
 * <p>A write is repeated with the same operation id until its outcome is known, as {@link
 * ConditionalWrite} decides: an operator must not be told that a change was refused although it has
 * taken effect.
 *
 * <p>Not safe for use by several threads.
 */
final class PlatformSession {

  /** Version of an object that does not exist. */
  static final long ABSENT = 0;

  private static final int MAX_ATTEMPTS = 5;
  private static final long INITIAL_BACKOFF_MS = 100;
  private static final long MAX_BACKOFF_MS = 5_000;

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

  /** Writes a value if the object still has the given version. */
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

  /** Deletes an object if it still has the given version. */
  void delete(PlatformKind kind, String name, long version, OperationId operation)
      throws CommandException {
    Optional<Refusal> refusal =
        write(
            ConditionalWrite.create(operation, version),
            () -> platform.delete(kind.word(), name, version, operation));
    // A deleted object has no operation id to compare after a lost answer; its absence suffices.
    if (refusal.isPresent() && !refusal.get().isAbsentAfterLostAnswer()) {
      throw refusal.get().exception();
    }
  }

  private <T> T read(Supplier<CompletableFuture<T>> call) throws CommandException {
    String last = "";
    for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
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
    for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
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
        ExitCode.UNREACHABLE, "platform " + address + " did not answer" + effect);
  }

  private WriteAnswer answer(Supplier<CompletableFuture<WriteAnswer>> call)
      throws CommandException {
    try {
      return client.await(call.get());
    } catch (PlatformException e) {
      return new WriteAnswer.Lost();
    }
  }

  private void pause(int attempt, long retryAfterMs) throws CommandException {
    if (attempt < MAX_ATTEMPTS) {
      long pauseMs = Math.max(INITIAL_BACKOFF_MS << (attempt - 1), retryAfterMs);
      client.pause(Math.min(pauseMs, MAX_BACKOFF_MS));
    }
  }

  /**
   * Reason why a write was refused.
   *
   * @param found the object on the platform
   * @param afterLostAnswer whether an earlier answer to the same write was lost
   */
  private record Refusal(WriteAnswer.Conflict found, boolean afterLostAnswer) {

    boolean isAbsentAfterLostAnswer() {
      return afterLostAnswer && found.version() == ABSENT;
    }

    CommandException exception() {
      String operation = found.operation().map(OperationId::value).orElse("unnamed");
      String what =
          found.version() == ABSENT
              ? "the object does not exist"
              : "it is at version " + found.version() + " by operation " + operation;
      String before = afterLostAnswer ? "; this change may have been in effect before that" : "";
      return new CommandException(ExitCode.CONFLICT, "another change came first: " + what + before);
    }
  }
}
