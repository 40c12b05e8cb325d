package io.sequoiapass.daemon.request;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import com.google.gson.annotations.SerializedName;
import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.IdempotencyKey;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.request.Priority;
import io.sequoiapass.coordination.request.Repeatability;
import io.sequoiapass.coordination.version.ConfigurationObject.AdapterRecord;
import io.sequoiapass.coordination.version.ConfigurationObject.ServiceRecord;
import io.sequoiapass.coordination.version.ConfigurationSnapshot;
import io.sequoiapass.daemon.connection.HttpRequestMessage;
import io.sequoiapass.daemon.connection.peer.ForwardedWork;
import java.util.Arrays;
import java.util.Optional;

/**
 * Parses callers' HTTP requests and validates them against one version of the configuration.
 *
 * <pre>{@code
 * CallerRequest request = parser.parse(message, snapshot);
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
public final class CallerRequestParser {

  /** Path of the completions interface. */
  public static final String COMPLETIONS = "/v1/completions";

  /** Path prefix of plain services. */
  public static final String SERVICES = "/services/";

  private static final int DEFAULT_MAX_TOKENS = 16;
  private static final int MAX_MAX_TOKENS = 100_000;
  private static final long MAX_DEADLINE_MS = 3_600_000;

  private final Gson gson = new Gson();
  private final RequestIds ids;
  private final MillisClock clock;
  private final long defaultDeadlineMs;

  /**
   * Creates a parser.
   *
   * @param ids generates request ids
   * @param clock the clock of deadlines
   * @param defaultDeadlineMs the default deadline in milliseconds, from a request's arrival
   */
  public CallerRequestParser(RequestIds ids, MillisClock clock, long defaultDeadlineMs) {
    this.ids = ids;
    this.clock = clock;
    this.defaultDeadlineMs = defaultDeadlineMs;
  }

  /**
   * Parses an HTTP message.
   *
   * @param message the message
   * @param snapshot the configuration to validate it against
   * @throws InvalidRequestException if the request is invalid
   */
  public CallerRequest parse(HttpRequestMessage message, ConfigurationSnapshot snapshot)
      throws InvalidRequestException {
    return message.path().startsWith(SERVICES)
        ? serviceCall(message, snapshot)
        : completion(message, snapshot);
  }

  private CallerRequest completion(HttpRequestMessage message, ConfigurationSnapshot snapshot)
      throws InvalidRequestException {
    CompletionBody body = body(message);
    AdapterVersion adapter = adapter(body.model(), snapshot);
    AdapterRecord record = snapshot.adapter(adapter.adapter()).orElseThrow();
    Optional<ServiceRecord> service = service(message, snapshot);
    if (service.isPresent() && !service.get().mayUse(adapter.adapter())) {
      throw new InvalidRequestException(
          ErrorKind.NOT_ALLOWED,
          "service " + service.get().id() + " may not use adapter " + adapter.adapter());
    }
    Priority priority = priority(message, service);
    int maxTokens = maxTokens(body);
    ForwardedWork work =
        new ForwardedWork.Completion(
            adapter,
            record.model(),
            priority,
            service.map(ServiceRecord::id),
            body.prompt(),
            maxTokens,
            0);
    RouteTarget target = new RouteTarget.Engine(record.model(), adapter);
    return request(message, work, target, priority, service, Boolean.TRUE.equals(body.stream()));
  }

  private CompletionBody body(HttpRequestMessage message) throws InvalidRequestException {
    CompletionBody body;
    try {
      body = gson.fromJson(message.text(), CompletionBody.class);
    } catch (JsonParseException e) {
      throw new InvalidRequestException(
          ErrorKind.MALFORMED_REQUEST, "the body is not a valid JSON completion request");
    }
    if (body == null || body.model() == null || body.prompt() == null) {
      throw new InvalidRequestException(
          ErrorKind.MALFORMED_REQUEST, "'model' and 'prompt' are required");
    }
    return body;
  }

  private static int maxTokens(CompletionBody body) throws InvalidRequestException {
    int tokens = body.maxTokens() == null ? DEFAULT_MAX_TOKENS : body.maxTokens();
    if (tokens < 1 || tokens > MAX_MAX_TOKENS) {
      throw new InvalidRequestException(
          ErrorKind.MALFORMED_REQUEST,
          "'max_tokens' must be 1 to " + MAX_MAX_TOKENS + ": " + tokens);
    }
    return tokens;
  }

  private static AdapterVersion adapter(String model, ConfigurationSnapshot snapshot)
      throws InvalidRequestException {
    int at = model.lastIndexOf(AdapterVersion.SEPARATOR);
    AdapterId id;
    try {
      id = new AdapterId(at < 0 ? model : model.substring(0, at));
    } catch (IllegalArgumentException e) {
      throw new InvalidRequestException(
          ErrorKind.UNKNOWN_ADAPTER, "invalid adapter name: " + model);
    }
    AdapterRecord record =
        snapshot
            .adapter(id)
            .orElseThrow(
                () ->
                    new InvalidRequestException(
                        ErrorKind.UNKNOWN_ADAPTER, "no such adapter: " + id));
    if (at < 0) {
      return new AdapterVersion(id, record.current());
    }
    String named = model.substring(at + 1);
    return record.versions().stream()
        .filter(version -> version.value().equals(named))
        .findFirst()
        .map(version -> new AdapterVersion(id, version))
        .orElseThrow(
            () ->
                new InvalidRequestException(
                    ErrorKind.UNKNOWN_VERSION, id + " has no version '" + named + "'"));
  }

  private CallerRequest serviceCall(HttpRequestMessage message, ConfigurationSnapshot snapshot)
      throws InvalidRequestException {
    String rest = message.target().substring(SERVICES.length());
    int slash = rest.indexOf('/');
    String name =
        slash < 0 ? message.path().substring(SERVICES.length()) : rest.substring(0, slash);
    ServiceRecord service =
        find(name, snapshot)
            .orElseThrow(
                () ->
                    new InvalidRequestException(
                        ErrorKind.UNKNOWN_SERVICE, "no such service: " + name));
    Priority priority = priority(message, Optional.of(service));
    ForwardedWork work =
        new ForwardedWork.ServiceCall(
            priority,
            message.method(),
            slash < 0 ? "/" : rest.substring(slash),
            message.header("Content-Type").orElse("application/octet-stream"),
            message.header("Idempotency-Key").orElse(""),
            message.body());
    RouteTarget target = new RouteTarget.Service(service.id(), ids.spread());
    return request(message, work, target, priority, Optional.of(service), false);
  }

  private static Optional<ServiceRecord> service(
      HttpRequestMessage message, ConfigurationSnapshot snapshot) throws InvalidRequestException {
    Optional<String> name = message.header("Service");
    if (name.isEmpty()) {
      return Optional.empty();
    }
    Optional<ServiceRecord> found = find(name.get(), snapshot);
    if (found.isEmpty()) {
      throw new InvalidRequestException(
          ErrorKind.UNKNOWN_SERVICE, "no such service: " + name.get());
    }
    return found;
  }

  private static Optional<ServiceRecord> find(String name, ConfigurationSnapshot snapshot) {
    try {
      return snapshot.service(new ServiceId(name));
    } catch (IllegalArgumentException invalidName) {
      return Optional.empty();
    }
  }

  private CallerRequest request(
      HttpRequestMessage message,
      ForwardedWork work,
      RouteTarget target,
      Priority priority,
      Optional<ServiceRecord> service,
      boolean streamed)
      throws InvalidRequestException {
    String callerId = callerId(message);
    return new CallerRequest(
        callerId,
        ids.next(callerId),
        work,
        target,
        repeatability(message, service),
        priority,
        key(message),
        clock.millis() + deadlineMs(message),
        streamed);
  }

  private static String callerId(HttpRequestMessage message) throws InvalidRequestException {
    String given = message.header("Request-Id").orElse("");
    if (given.length() > RequestIds.MAX_CALLER_ID
        || !given.chars().allMatch(c -> c > ' ' && c < 127)) {
      throw new InvalidRequestException(
          ErrorKind.MALFORMED_REQUEST,
          "'Request-Id' must be at most "
              + RequestIds.MAX_CALLER_ID
              + " printable characters without spaces");
    }
    return given;
  }

  private static Optional<IdempotencyKey> key(HttpRequestMessage message)
      throws InvalidRequestException {
    Optional<String> given = message.header("Idempotency-Key");
    try {
      return given.map(IdempotencyKey::new);
    } catch (IllegalArgumentException e) {
      throw new InvalidRequestException(
          ErrorKind.MALFORMED_REQUEST, "'Idempotency-Key': " + e.getMessage());
    }
  }

  private long deadlineMs(HttpRequestMessage message) throws InvalidRequestException {
    Optional<String> given = message.header("Deadline-Ms");
    if (given.isEmpty()) {
      return defaultDeadlineMs;
    }
    long deadline;
    try {
      deadline = Long.parseLong(given.get());
    } catch (NumberFormatException e) {
      deadline = -1;
    }
    if (deadline < 1 || deadline > MAX_DEADLINE_MS) {
      throw new InvalidRequestException(
          ErrorKind.BAD_DEADLINE,
          "'Deadline-Ms' must be 1 to " + MAX_DEADLINE_MS + ": " + given.get());
    }
    return deadline;
  }

  private static Priority priority(HttpRequestMessage message, Optional<ServiceRecord> service)
      throws InvalidRequestException {
    Optional<String> given = message.header("Priority");
    if (given.isEmpty()) {
      return service.map(ServiceRecord::priority).orElse(Priority.INTERACTIVE);
    }
    return Arrays.stream(Priority.values())
        .filter(priority -> priority.name().equalsIgnoreCase(given.get()))
        .findFirst()
        .orElseThrow(
            () ->
                new InvalidRequestException(
                    ErrorKind.MALFORMED_REQUEST,
                    "'Priority' must be one of "
                        + Arrays.toString(Priority.values())
                        + ": "
                        + given.get()));
  }

  /** A caller may forbid repetition that its service allows, but not allow what it forbids. */
  private static Repeatability repeatability(
      HttpRequestMessage message, Optional<ServiceRecord> service) throws InvalidRequestException {
    String given = message.header("Repeatable").orElse("true");
    if (!given.equals("true") && !given.equals("false")) {
      throw new InvalidRequestException(
          ErrorKind.MALFORMED_REQUEST, "'Repeatable' must be true or false: " + given);
    }
    boolean allowed = service.map(ServiceRecord::repeatable).orElse(true);
    return given.equals("true") && allowed ? Repeatability.REPEATABLE : Repeatability.AT_MOST_ONCE;
  }

  private record CompletionBody(
      String model,
      String prompt,
      @SerializedName("max_tokens") Integer maxTokens,
      Boolean stream) {}
}
