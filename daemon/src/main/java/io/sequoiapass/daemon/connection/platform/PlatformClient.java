package io.sequoiapass.daemon.connection.platform;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.OperationId;
import io.sequoiapass.coordination.version.WriteAnswer;
import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.daemon.connection.HttpClient;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/**
 * HTTP client of the platform's object API.
 *
 * <pre>{@code
 * platform.read("preset", "current").thenAccept(stored -> ...);
 * platform.put("preset", "current", value, OptionalLong.of(7), operation)...
 * }</pre>
 *
 * <p>Reads fail with a {@link PlatformException} as their cause if the platform gives no usable
 * answer. Writes always complete with a {@link WriteAnswer}, since callers have to handle a lost
 * answer like any other result. Safe for use by several threads.
 */
public final class PlatformClient {

  /** Largest answer of the platform, in bytes; a page of a list holds several large objects. */
  private static final int MAX_ANSWER_BYTES = 8 << 20;

  private static final int OK = 200;
  private static final int NOT_MODIFIED = 304;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int GONE = 410;
  private static final int THROTTLED = 429;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final HttpClient http;
  private final InetSocketAddress address;
  private final long timeoutMs;
  private final Gson gson = new Gson();

  /**
   * Creates a client.
   *
   * @param http the HTTP client that sends the calls
   * @param address the platform's address
   * @param timeoutMs timeout of a call in milliseconds; the wait of a watch comes on top
   */
  public PlatformClient(HttpClient http, InetSocketAddress address, long timeoutMs) {
    this.http = Objects.requireNonNull(http, "http");
    this.address = Objects.requireNonNull(address, "address");
    this.timeoutMs = timeoutMs;
  }

  /**
   * Reads one object.
   *
   * @param kind its kind
   * @param name its name
   */
  public CompletableFuture<Optional<StoredObject>> read(String kind, String name) {
    return send(HttpCall.to(address, "GET", path(kind, name)), timeoutMs)
        .handle(
            (answer, failure) -> {
              if (failure == null && answer.status() == NOT_FOUND) {
                return Optional.empty();
              }
              return Optional.of(parse(answer, failure, StoredObject.class));
            });
  }

  /**
   * Reads all objects of a kind.
   *
   * @param kind the kind
   */
  public CompletableFuture<ObjectList> list(String kind) {
    return send(HttpCall.to(address, "GET", "/v1/objects/" + encode(kind)), timeoutMs)
        .handle((answer, failure) -> parse(answer, failure, ObjectList.class));
  }

  /**
   * Reads the list of hosts. The platform may omit hosts of other data centres. If the list still
   * has the given tag, the platform may answer "not modified", which keeps frequent reads cheap.
   *
   * @param dataCentre the data centre whose hosts are read
   * @param tag entity tag of the list that the caller holds; empty if it holds none
   * @return the list; empty if it is unchanged
   */
  public CompletableFuture<Optional<HostList>> hosts(DataCentreId dataCentre, String tag) {
    String path = "/v1/hosts?data_centre=" + encode(dataCentre.value());
    HttpCall call = HttpCall.to(address, "GET", path);
    return send(tag.isEmpty() ? call : call.header("If-None-Match", tag), timeoutMs)
        .handle(
            (answer, failure) -> {
              if (failure == null && answer.status() == NOT_MODIFIED) {
                return Optional.empty();
              }
              HostList list = parse(answer, failure, HostList.class);
              return Optional.of(list.withTag(answer.headers().get("ETag", "")));
            });
  }

  /**
   * Waits for changes of objects.
   *
   * @param kinds the kinds to watch
   * @param after the revision after which changes are returned
   * @param waitMs how long the platform may delay its answer while nothing changes, in milliseconds
   */
  public CompletableFuture<ObjectChanges> watch(Collection<String> kinds, long after, long waitMs) {
    String path =
        "/v1/watch?kinds=" + String.join(",", kinds) + "&after=" + after + "&wait_ms=" + waitMs;
    return send(HttpCall.to(address, "GET", path), waitMs + timeoutMs)
        .handle((answer, failure) -> parse(answer, failure, ObjectChanges.class));
  }

  /**
   * Writes one object if it still has the expected version.
   *
   * @param kind its kind
   * @param name its name
   * @param value the value
   * @param expectedVersion the version that the object must have; 0 if it must not exist
   * @param operation identifies the write, so that a retry recognises its own change
   */
  public CompletableFuture<WriteAnswer> put(
      String kind, String name, JsonObject value, long expectedVersion, OperationId operation) {
    HttpCall call =
        HttpCall.to(address, "PUT", path(kind, name))
            .header("If-Match", Long.toString(expectedVersion))
            .header("Operation-Id", operation.value())
            .body(gson.toJson(value));
    return send(call, timeoutMs).handle(this::writeAnswer);
  }

  /**
   * Deletes one object if it still has the expected version.
   *
   * @param kind its kind
   * @param name its name
   * @param expectedVersion the version that the object must have
   * @param operation identifies the write
   */
  public CompletableFuture<WriteAnswer> delete(
      String kind, String name, long expectedVersion, OperationId operation) {
    HttpCall call =
        HttpCall.to(address, "DELETE", path(kind, name))
            .header("If-Match", Long.toString(expectedVersion))
            .header("Operation-Id", operation.value());
    return send(call, timeoutMs).handle(this::writeAnswer);
  }

  private WriteAnswer writeAnswer(HttpAnswer answer, Throwable failure) {
    if (failure != null) {
      return new WriteAnswer.Lost();
    }
    try {
      return switch (answer.status()) {
        case OK ->
            new WriteAnswer.Stored(gson.fromJson(answer.text(), StoredObject.class).version());
        case NOT_FOUND -> new WriteAnswer.Conflict(0, Optional.empty());
        case CONFLICT -> conflict(gson.fromJson(answer.text(), ConflictBody.class));
        case THROTTLED -> new WriteAnswer.Throttled(retryAfterMs(answer));
        default -> new WriteAnswer.Lost();
      };
    } catch (JsonParseException | NullPointerException unreadable) {
      return new WriteAnswer.Lost();
    }
  }

  private static WriteAnswer conflict(ConflictBody body) {
    StoredObject current = body.current();
    return current == null
        ? new WriteAnswer.Conflict(0, Optional.empty())
        : new WriteAnswer.Conflict(
            current.version(), Optional.ofNullable(current.operation()).map(OperationId::new));
  }

  private <T> T parse(HttpAnswer answer, Throwable failure, Class<T> type) {
    if (failure != null) {
      throw failed(PlatformException.Reason.UNAVAILABLE, 0, String.valueOf(failure.getMessage()));
    }
    if (answer.status() == GONE) {
      throw failed(PlatformException.Reason.HISTORY_GONE, 0, "history gone");
    }
    if (answer.status() == THROTTLED) {
      throw failed(PlatformException.Reason.THROTTLED, retryAfterMs(answer), "rate exceeded");
    }
    if (answer.status() != OK) {
      throw failed(PlatformException.Reason.UNAVAILABLE, 0, "status " + answer.status());
    }
    try {
      return Objects.requireNonNull(gson.fromJson(answer.text(), type), "empty body");
    } catch (JsonParseException | NullPointerException unreadable) {
      throw failed(PlatformException.Reason.UNAVAILABLE, 0, "unreadable answer");
    }
  }

  private static CompletionException failed(
      PlatformException.Reason reason, long retryAfterMs, String message) {
    return new CompletionException(new PlatformException(reason, retryAfterMs, message));
  }

  private static long retryAfterMs(HttpAnswer answer) {
    String seconds = answer.headers().get("Retry-After", "1");
    try {
      return Long.parseLong(seconds) * MILLIS_PER_SECOND;
    } catch (NumberFormatException notSeconds) {
      return MILLIS_PER_SECOND;
    }
  }

  private static String path(String kind, String name) {
    return "/v1/objects/" + encode(kind) + "/" + encode(name);
  }

  private static String encode(String part) {
    return URLEncoder.encode(part, StandardCharsets.UTF_8).replace("+", "%20");
  }

  private record ConflictBody(String error, StoredObject current) {}

  private CompletableFuture<HttpAnswer> send(HttpCall call, long callTimeoutMs) {
    return http.send(call.maxBodyBytes(MAX_ANSWER_BYTES), callTimeoutMs);
  }
}
