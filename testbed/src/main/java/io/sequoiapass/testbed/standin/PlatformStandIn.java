package io.sequoiapass.testbed.standin;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.netty.channel.EventLoop;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.daemon.connection.HttpRequestMessage;
import io.sequoiapass.daemon.connection.HttpResponder;
import io.sequoiapass.testbed.standin.PlatformStore.Change;
import io.sequoiapass.testbed.standin.PlatformStore.StoredObject;
import io.sequoiapass.testbed.wire.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Stand-in for the platform: versioned objects, conditional updates, watches and the host list.
 *
 * <p>Tests set the host list with {@code PUT /hosts}, which is not counted as an API call and
 * becomes visible after the configured lag.
 */
final class PlatformStandIn extends AuditedHandler {

  private static final String OBJECTS = "/v1/objects/";
  private static final long MAX_WAIT_MS = 60_000;

  private final PlatformSettings settings;
  private final EventLoop loop;
  private final PlatformStore store;
  private final RateLimit writes;
  private final RateLimit reads;
  private final Random random;
  private final List<PendingWatch> watches = new ArrayList<>();
  private final Map<CallKind, Long> calls = new TreeMap<>();
  private Faults faults = new Faults(false, 0, 0, false);
  private JsonElement hosts = noHosts();
  private int hostsTag;
  private long conflicts;
  private long lostAnswers;
  private int mostWatches;

  PlatformStandIn(PlatformSettings settings, EventLoop loop, MillisClock clock) {
    this.settings = settings;
    this.loop = loop;
    this.store = new PlatformStore(settings.history());
    this.writes = new RateLimit(settings.writesPerSecond(), clock);
    this.reads = new RateLimit(settings.readsPerSecond(), clock);
    this.random = new Random(settings.seed());
  }

  private static JsonElement noHosts() {
    JsonObject list = new JsonObject();
    list.add("hosts", new JsonArray());
    return list;
  }

  @Override
  void setFaults(String json) {
    faults = read(json, Faults.class);
    if (faults.compact()) {
      store.compact();
    }
    if (faults.outage()) {
      List<PendingWatch> interrupted = List.copyOf(watches);
      watches.clear();
      interrupted.forEach(watch -> watch.responder.abort());
    }
  }

  @Override
  Object audit(HttpRequestMessage request) {
    return new AuditReport(
        store.revision(), calls, conflicts, lostAnswers, watches.size(), mostWatches);
  }

  @Override
  void serve(HttpRequestMessage request, HttpResponder responder) {
    if (request.path().equals("/hosts") && request.method().equals("PUT")) {
      JsonElement next = read(request.text(), JsonElement.class);
      loop.schedule(() -> setHosts(next), settings.hostsLagMs(), TimeUnit.MILLISECONDS);
      ok(responder, Map.of());
      return;
    }
    CallKind kind = CallKind.of(request);
    if (faults.outage()) {
      count(CallKind.REFUSED_OUTAGE);
      error(responder, 503, "outage");
      return;
    }
    RateLimit limit = kind.writes() ? writes : reads;
    if (!limit.tryAcquire()) {
      count(CallKind.REFUSED_RATE);
      responder.respond(429, Map.of("Retry-After", "1"), "{\"error\":\"rate\"}");
      return;
    }
    count(kind);
    if (faults.slowMs() > 0) {
      loop.schedule(
          () -> dispatch(kind, request, responder), faults.slowMs(), TimeUnit.MILLISECONDS);
    } else {
      dispatch(kind, request, responder);
    }
  }

  private void setHosts(JsonElement next) {
    hosts = next;
    hostsTag++;
  }

  private void hosts(HttpRequestMessage request, HttpResponder responder) {
    String tag = "\"" + hostsTag + "\"";
    if (request.header("If-None-Match").filter(tag::equals).isPresent()) {
      responder.respond(304, Map.of("ETag", tag), "");
      return;
    }
    JsonArray wanted = new JsonArray();
    Optional<String> dataCentre = request.query("data_centre");
    for (JsonElement host : hosts.getAsJsonObject().getAsJsonArray("hosts")) {
      String at = host.getAsJsonObject().get("data_centre").getAsString();
      if (dataCentre.isEmpty() || dataCentre.get().equals(at)) {
        wanted.add(host);
      }
    }
    JsonObject list = new JsonObject();
    list.add("hosts", wanted);
    responder.respond(200, Map.of("ETag", tag), list.toString());
  }

  private void count(CallKind kind) {
    calls.merge(kind, 1L, Long::sum);
  }

  private void dispatch(CallKind kind, HttpRequestMessage request, HttpResponder responder) {
    try {
      switch (kind) {
        case WATCH -> watch(request, responder);
        case HOSTS -> hosts(request, responder);
        case LIST -> list(request, responder);
        case READ -> readObject(request, responder);
        case PUT -> put(request, responder);
        case DELETE -> delete(request, responder);
        default -> error(responder, 404, "unknown path");
      }
    } catch (IllegalArgumentException | com.google.gson.JsonSyntaxException e) {
      error(responder, 400, String.valueOf(e.getMessage()));
    }
  }

  private void list(HttpRequestMessage request, HttpResponder responder) {
    ok(responder, new Listing(store.revision(), store.list(ObjectPath.of(request).kind())));
  }

  private void readObject(HttpRequestMessage request, HttpResponder responder) {
    ObjectPath path = ObjectPath.of(request);
    Optional<StoredObject> found = store.find(path.kind(), path.name());
    if (found.isPresent()) {
      ok(responder, found.get());
    } else {
      error(responder, 404, "not_found");
    }
  }

  private void put(HttpRequestMessage request, HttpResponder responder) {
    ObjectPath path = ObjectPath.of(request);
    if (rejectConflict(request, path, responder)) {
      return;
    }
    JsonElement value = read(request.text(), JsonElement.class);
    StoredObject stored = store.put(path.kind(), path.name(), operation(request), value);
    respondAndNotify(responder, stored);
  }

  private void delete(HttpRequestMessage request, HttpResponder responder) {
    ObjectPath path = ObjectPath.of(request);
    if (store.find(path.kind(), path.name()).isEmpty()) {
      error(responder, 404, "not_found");
      return;
    }
    if (rejectConflict(request, path, responder)) {
      return;
    }
    respondAndNotify(responder, store.delete(path.kind(), path.name(), operation(request)));
  }

  private static String operation(HttpRequestMessage request) {
    return request.header("Operation-Id").orElse("");
  }

  private boolean rejectConflict(
      HttpRequestMessage request, ObjectPath path, HttpResponder responder) {
    Optional<Long> ifMatch = request.header("If-Match").map(Long::valueOf);
    if (store.matches(path.kind(), path.name(), ifMatch)) {
      return false;
    }
    conflicts++;
    JsonObject body = new JsonObject();
    body.addProperty("error", "conflict");
    body.add("current", Json.GSON.toJsonTree(store.find(path.kind(), path.name()).orElse(null)));
    respond(responder, 409, body);
    return true;
  }

  private void respondAndNotify(HttpResponder responder, StoredObject stored) {
    if (random.nextDouble() < faults.loseAnswers()) {
      lostAnswers++;
      responder.abort();
    } else {
      ok(responder, stored);
    }
    List.copyOf(watches).forEach(PendingWatch::completeIfChanged);
  }

  private void watch(HttpRequestMessage request, HttpResponder responder) {
    long after = Long.parseLong(request.query("after").orElse("0"));
    long waitMs = Math.min(MAX_WAIT_MS, Long.parseLong(request.query("wait_ms").orElse("0")));
    String kinds = request.query("kinds").orElse("");
    if (!store.hasHistoryAfter(after)) {
      error(responder, 410, "gone");
      return;
    }
    PendingWatch watch = new PendingWatch(Set.of(kinds.split(",", -1)), after, responder);
    watches.add(watch);
    mostWatches = Math.max(mostWatches, watches.size());
    responder.onClose(() -> watches.remove(watch));
    loop.schedule(watch::complete, waitMs, TimeUnit.MILLISECONDS);
    watch.completeIfChanged();
  }

  /** A pending watch request; compared by identity. */
  private final class PendingWatch {

    private final Set<String> kinds;
    private final long after;
    private final HttpResponder responder;

    PendingWatch(Set<String> kinds, long after, HttpResponder responder) {
      this.kinds = kinds;
      this.after = after;
      this.responder = responder;
    }

    void completeIfChanged() {
      if (!store.changesAfter(after, kinds).isEmpty()) {
        complete();
      }
    }

    void complete() {
      if (watches.remove(this)) {
        ok(responder, new WatchAnswer(store.revision(), store.changesAfter(after, kinds)));
      }
    }
  }

  /** Kinds of calls that the audit report counts. */
  private enum CallKind {
    READ,
    LIST,
    WATCH,
    HOSTS,
    PUT,
    DELETE,
    UNKNOWN,
    REFUSED_RATE,
    REFUSED_OUTAGE;

    boolean writes() {
      return this == PUT || this == DELETE;
    }

    static CallKind of(HttpRequestMessage request) {
      String path = request.path();
      if (path.equals("/v1/watch")) {
        return WATCH;
      }
      if (path.equals("/v1/hosts")) {
        return HOSTS;
      }
      if (!path.startsWith(OBJECTS)) {
        return UNKNOWN;
      }
      return switch (request.method()) {
        case "PUT" -> PUT;
        case "DELETE" -> DELETE;
        default -> ObjectPath.of(request).name().isEmpty() ? LIST : READ;
      };
    }
  }

  private record ObjectPath(String kind, String name) {

    static ObjectPath of(HttpRequestMessage request) {
      String rest = request.path().substring(OBJECTS.length());
      int slash = rest.indexOf('/');
      return slash < 0
          ? new ObjectPath(rest, "")
          : new ObjectPath(rest.substring(0, slash), rest.substring(slash + 1));
    }
  }

  private record Faults(boolean outage, int slowMs, double loseAnswers, boolean compact) {}

  private record Listing(long revision, List<StoredObject> items) {}

  private record WatchAnswer(long revision, List<Change> events) {}

  private record AuditReport(
      long revision,
      Map<CallKind, Long> calls,
      long conflicts,
      long lostAnswers,
      int watchesWaiting,
      int mostWatches) {}
}
