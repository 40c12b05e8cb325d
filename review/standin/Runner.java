import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

/** A runner that registers itself in the store: a model runner, or one of a plain service. */
final class Runner {

  static final String MODEL = "m0";
  private static final int MOST_COMING = 4;

  /** How many adapters that it held a runner keeps at hand. */
  private static final int MOST_RECENT = 48;

  private static final long LOAD_MS = 250;
  static final int EVENTS = 10;
  private static final long HEARTBEAT_MS = 1_200;

  /** Called when a runner begins to work on a request. */
  interface RunListener {
    void ran(Runner runner, Http.Request request);
  }

  final String id;
  private final String service;
  private final String zone;
  private final boolean isEngine;
  private final long workMs;
  private final Store store;
  private final Http.Server server;
  private final RunListener listener;
  private final TreeMap<String, Long> adapters = new TreeMap<>();
  private final TreeMap<String, Long> coming = new TreeMap<>();
  private final Map<String, Integer> used = new TreeMap<>();
  private final Set<String> leaving = new HashSet<>();
  private final Set<String> recent = new LinkedHashSet<>();
  private long sequence;
  private long fence;
  private long heartbeats;
  private String state = "ready";
  private volatile boolean ended;
  final AtomicInteger rejected = new AtomicInteger();

  /** Whether the next rejection is answered twice; the second answer comes late. */
  volatile BooleanSupplier repeatsRejection = () -> false;

  /** Whether the runner is faulty now; an answer that is repeated later than that is dropped. */
  volatile BooleanSupplier isFaulty = () -> false;

  /** Called when an answer is sent a second time. */
  volatile java.util.function.Consumer<String> onRepeat = id -> {};

  Runner(
      String id,
      String ip,
      String service,
      String zone,
      boolean isEngine,
      long workMs,
      Store store,
      RunListener listener)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.isEngine = isEngine;
    this.workMs = workMs;
    this.store = store;
    this.listener = listener;
    this.server = new Http.Server(ip, this::handle);
    Http.daemonThread(this::beat);
  }

  String address() {
    return server.address();
  }

  private void beat() {
    try {
      while (!ended) {
        register();
        Thread.sleep(HEARTBEAT_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void register() {
    if (ended) {
      return;
    }
    JsonObject entry = new JsonObject();
    entry.addProperty("Service", service);
    entry.addProperty("Address", server.address());
    entry.addProperty("Zone", zone);
    entry.addProperty("Version", "v1");
    entry.addProperty("Slots", isEngine ? 96 : 6);
    entry.addProperty("State", state);
    entry.addProperty("ColdRemainingMs", 0);
    if (isEngine) {
      entry.addProperty("Stage", "both");
      entry.add("Models", models());
    }
    entry.addProperty("Sequence", ++heartbeats);
    store.put("servers", id, entry);
  }

  /** Reports that it leaves; it goes on serving until {@link #exit}. */
  synchronized void drain() {
    state = "draining";
    register();
  }

  /** Ends as a process that leaves: its entry is removed. */
  void exit() {
    synchronized (this) {
      ended = true;
      store.delete("servers", id);
    }
    server.close();
  }

  private JsonArray models() {
    JsonObject model = new JsonObject();
    model.addProperty("Name", MODEL);
    model.addProperty("Version", 1);
    JsonArray held = new JsonArray();
    adapters.forEach((name, version) -> held.add(name + "@" + version));
    model.add("Adapters", held);
    JsonArray models = new JsonArray();
    models.add(model);
    return models;
  }

  private void handle(Http.Connection connection, Http.Request request) throws Exception {
    byte[] late = connection.late;
    connection.late = null;
    if (late != null && isFaulty.getAsBoolean()) {
      connection.send(late);
    }
    String expected = request.header("Sequoiapass-Expected-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      connection.respond(421, identified(request), "{}");
    } else if (request.path().equals("/v1/report")) {
      connection.respond(200, Map.of("Content-Type", "application/json"), report());
    } else if (request.path().equals("/v1/order")) {
      order(connection, request);
    } else if (request.path().equals("/health")) {
      connection.respond(200, Map.of("Sequoiapass-Instance-Id", id), "");
    } else if (isEngine) {
      generate(connection, request);
    } else {
      plain(connection, request);
    }
  }

  private Map<String, String> identified(Http.Request request) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Sequoiapass-Request-Id", request.header("Sequoiapass-Request-Id"));
    headers.put("Sequoiapass-Instance-Id", id);
    return headers;
  }

  private synchronized String report() {
    JsonObject report = new JsonObject();
    report.addProperty("Stage", "both");
    report.add("Models", models());
    report.addProperty("Busy", false);
    report.addProperty("Sequence", sequence);
    JsonArray loading = new JsonArray();
    coming.forEach((name, version) -> loading.add(MODEL + "/" + name + "@" + version));
    report.add("Coming", loading);
    return report.toString();
  }

  private synchronized int orderStatus(JsonObject order) {
    if (!order.has("Holder") || !order.has("FencingToken")) {
      return 400;
    }
    if (order.get("FencingToken").getAsLong() < fence) {
      return 412;
    }
    fence = order.get("FencingToken").getAsLong();
    if (order.has("Expected") && order.get("Expected").getAsLong() != sequence) {
      return 409;
    }
    String adapter = order.get("Adapter").getAsString();
    if (order.get("Operation").getAsString().equals("unloading")) {
      sequence++;
      if (used.getOrDefault(adapter, 0) > 0) {
        leaving.add(adapter);
        return 202;
      }
      adapters.remove(adapter);
      coming.remove(adapter);
      return 200;
    }
    long version = order.has("Version") ? order.get("Version").getAsLong() : 1;
    if (adapters.getOrDefault(adapter, 0L) >= version || coming.containsKey(adapter)) {
      return 200;
    }
    if (coming.size() >= MOST_COMING) {
      return 409;
    }
    sequence++;
    coming.put(adapter, version);
    return 202;
  }

  private void order(Http.Connection connection, Http.Request request) throws IOException {
    JsonObject order =
        JsonParser.parseString(new String(request.body(), StandardCharsets.UTF_8))
            .getAsJsonObject();
    int status = orderStatus(order);
    if (status == 202 && order.get("Operation").getAsString().equals("loading")) {
      String adapter = order.get("Adapter").getAsString();
      Http.daemonThread(() -> load(adapter, loadMs(adapter)));
    }
    connection.respond(status, Map.of("Content-Type", "application/json"), "{}");
  }

  /** An adapter takes 250 ms, longer while others load, and a tenth if it was held recently. */
  private synchronized long loadMs(String adapter) {
    long alone = recent.contains(adapter) ? LOAD_MS / 10 : LOAD_MS;
    return alone + ThreadLocalRandom.current().nextLong(alone / 2);
  }

  private void load(String adapter, long takesMs) {
    try {
      Thread.sleep(takesMs);
    } catch (InterruptedException e) {
      return;
    }
    synchronized (this) {
      Long version = coming.remove(adapter);
      if (version != null) {
        adapters.put(adapter, version);
        recent.remove(adapter);
        recent.add(adapter);
        if (recent.size() > MOST_RECENT) {
          recent.remove(recent.iterator().next());
        }
      }
    }
  }

  private synchronized boolean take(String adapter) {
    if (adapter.isEmpty()) {
      return true;
    }
    if (!adapters.containsKey(adapter) || leaving.contains(adapter)) {
      return false;
    }
    used.merge(adapter, 1, Integer::sum);
    return true;
  }

  private synchronized void release(String adapter) {
    if (!adapter.isEmpty() && used.merge(adapter, -1, Integer::sum) == 0) {
      used.remove(adapter);
      if (leaving.remove(adapter)) {
        adapters.remove(adapter);
      }
    }
  }

  private void generate(Http.Connection connection, Http.Request request) throws Exception {
    String model = request.header("Sequoiapass-Model");
    int slash = model.indexOf('/');
    String adapter = slash < 0 ? "" : model.substring(slash + 1);
    if (!take(adapter)) {
      rejected.incrementAndGet();
      byte[] rejection = Http.response(421, identified(request), "{}");
      connection.send(rejection);
      if (repeatsRejection.getAsBoolean()) {
        connection.late = rejection;
        onRepeat.accept(request.header("Sequoiapass-Request-Id"));
      }
      return;
    }
    try {
      listener.ran(this, request);
      Map<String, String> headers = identified(request);
      headers.put("Sequoiapass-Server-Stamp", "stamp." + id);
      headers.put("Content-Type", "text/event-stream");
      headers.put("Transfer-Encoding", "chunked");
      Thread.sleep(40);
      connection.send(Http.head(200, headers));
      for (int event = 1; event <= EVENTS; event++) {
        String text = "id: " + event + "\ndata: piece " + event + "\n\n";
        connection.send(Http.chunk(text.getBytes(StandardCharsets.UTF_8)));
        Thread.sleep(workMs / EVENTS);
      }
      connection.send(Http.chunk(new byte[0]));
    } finally {
      release(adapter);
    }
  }

  private void plain(Http.Connection connection, Http.Request request) throws Exception {
    listener.ran(this, request);
    Thread.sleep(workMs);
    Map<String, String> headers = identified(request);
    headers.put("Sequoiapass-Server-Stamp", "stamp." + id);
    headers.put("Content-Type", "text/plain");
    connection.respond(200, headers, "slip by " + id);
  }
}
