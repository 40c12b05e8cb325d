import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Semaphore;

/**
 * A sound runner: registers in the store, beats, carries out orders, and answers plain calls and
 * streams. What a case wants otherwise it sets in {@link #hook}.
 */
final class Runner implements AutoCloseable {

  /** Replaces the usual answer to a request that has begun to run. */
  interface Hook {
    /** Returns null for the usual answer, else whether the connection is kept. */
    Boolean answer(Runner runner, Http.Message request, Http.Connection connection)
        throws Exception;
  }

  /** One run: when it began, and what was asked. */
  record Run(long atMs, String runner, String requestId, Http.Message request) {}

  static final String MODEL = "daka510000";

  final String id;
  final String service;
  final String zone;
  Http.Server server;
  final List<Run> runs = Collections.synchronizedList(new ArrayList<>());
  final List<String> received = Collections.synchronizedList(new ArrayList<>());
  final List<String> orders = Collections.synchronizedList(new ArrayList<>());
  final Map<String, Long> adapters = new TreeMap<>();
  volatile Hook hook = (runner, request, connection) -> null;
  volatile String state = "ready";
  volatile String version;
  private final long born;
  private final String fixedAddress;
  volatile boolean registered = true;
  volatile boolean beats = true;
  volatile long workMs = 85;
  volatile int events = 10;
  volatile double eventMs = 40;
  volatile long firstMs = 40;
  volatile Map<String, String> extraHeaders = Map.of();

  /** Share of the streams that have neither a length nor chunks and end with their connection. */
  volatile double unframedShare;

  /** Whether each run is printed when it begins. */
  volatile boolean reportsRuns;

  private final Store store;
  private final Semaphore slots;
  private final int slotCount;
  private final boolean isModel;
  private long sequence;
  private long epoch;
  private long beat;

  Runner(Store store, String ip, String id, String service, String zone, int slots, boolean isModel)
      throws Exception {
    this(store, ip, 0, id, service, zone, slots, isModel, "v1", 0);
  }

  /** Creates a runner that states when it was started, unless {@code born} is 0. */
  Runner(
      Store store,
      String ip,
      int port,
      String id,
      String service,
      String zone,
      int slots,
      boolean isModel,
      String version,
      long born)
      throws Exception {
    this.version = version;
    this.born = born;
    this.store = store;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slotCount = slots;
    this.slots = new Semaphore(slots, true);
    this.isModel = isModel;
    // A process that starts again registers before it serves.
    this.fixedAddress = ip + ":" + port;
    if (store != null && port > 0) {
      register();
    }
    this.server = new Http.Server(ip, port, this::handle);
    if (store == null) {
      return;
    }
    register();
    Http.daemon(
        () -> {
          while (true) {
            Thread.sleep(1_200);
            if (beats && registered) {
              register();
            }
          }
        });
  }

  /** Writes the entry of the runner. */
  synchronized void register() {
    beat++;
    store.put("servers", id, entry());
  }

  void unregister() {
    registered = false;
    store.delete("servers", id);
  }

  synchronized String entry() {
    return "{\"Service\":\""
        + service
        + "\",\"Address\":\""
        + address()
        + "\",\"Zone\":\""
        + zone
        + "\",\"Version\":\""
        + version
        + "\",\"Slots\":"
        + slotCount
        + (born == 0 ? "" : ",\"born\":" + born)
        + ",\"State\":\""
        + state
        + "\",\"ColdRemainingMs\":0,\"Stage\":\"both\",\"Models\":"
        + models()
        + ",\"Sequence\":"
        + beat
        + "}";
  }

  String address() {
    if (server == null) {
      return fixedAddress;
    }
    return server.listening.getInetAddress().getHostAddress() + ":" + server.port();
  }

  private synchronized String models() {
    if (!isModel) {
      return "[]";
    }
    List<String> held = new ArrayList<>();
    adapters.forEach((name, number) -> held.add("\"" + name + "@" + number + "\""));
    return "[{\"Name\":\"" + MODEL + "\",\"Version\":1,\"Adapters\":[" + String.join(",", held) + "]}]";
  }

  Map<String, String> headers(Http.Message request, boolean ran) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Sequoiapass-Request-Id", request.header("Sequoiapass-Request-Id"));
    if (ran) {
      headers.put("Sequoiapass-Server-Stamp", id + "." + request.header("Sequoiapass-Request-Id"));
    }
    headers.putAll(extraHeaders);
    return headers;
  }

  private boolean handle(Http.Message request, Http.Connection connection) throws Exception {
    String expected = request.header("Sequoiapass-Expected-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      connection.respond(421, new LinkedHashMap<>(Map.of("Sequoiapass-Instance-Id", id)), new byte[0]);
      return true;
    }
    switch (request.target()) {
      case "/v1/report" -> {
        connection.respond(200, json(), report().getBytes("UTF-8"));
        return true;
      }
      case "/v1/order" -> {
        order(request, connection);
        return true;
      }
      case "/health" -> {
        connection.respond(
            200, new LinkedHashMap<>(Map.of("Sequoiapass-Instance-Id", id)), new byte[0]);
        return true;
      }
      default -> {
        return run(request, connection);
      }
    }
  }

  private static Map<String, String> json() {
    return new LinkedHashMap<>(Map.of("Content-Type", "application/json"));
  }

  private synchronized String report() {
    return "{\"Stage\":\"both\",\"Models\":"
        + models()
        + ",\"Busy\":false,\"Sequence\":"
        + sequence
        + ",\"Queued\":0,\"Active\":"
        + (slotCount - slots.availablePermits())
        + ",\"KvUsed\":0,\"KvTotal\":200000,\"Handles\":0,\"Coming\":[]}";
  }

  private static String field(String json, String name) {
    java.util.regex.Matcher found =
        java.util.regex.Pattern.compile("\"" + name + "\"\\s*:\\s*\"?([^\",}]*)").matcher(json);
    return found.find() ? found.group(1) : "";
  }

  private synchronized void order(Http.Message request, Http.Connection connection)
      throws Exception {
    String order = request.text();
    orders.add(Case.now() + " " + order);
    long token = Long.parseLong(field(order, "FencingToken"));
    int status = 202;
    if (token < epoch) {
      status = 412;
    } else if (!field(order, "Expected").equals(Long.toString(sequence))) {
      epoch = token;
      status = 409;
    } else {
      epoch = token;
      sequence++;
      String adapter = field(order, "Adapter");
      if (field(order, "Operation").equals("unloading")) {
        adapters.remove(adapter);
        status = 200;
      } else {
        String wanted = field(order, "Version");
        adapters.put(adapter, wanted.isEmpty() ? 1L : Long.parseLong(wanted));
      }
    }
    connection.respond(status, json(), "{}".getBytes("UTF-8"));
  }

  private boolean run(Http.Message request, Http.Connection connection) throws Exception {
    String requestId = request.header("Sequoiapass-Request-Id");
    received.add(requestId);
    String model = request.header("Sequoiapass-Model");
    int slash = model.indexOf('/');
    synchronized (this) {
      if (slash > 0 && !adapters.containsKey(model.substring(slash + 1))) {
        Map<String, String> headers = headers(request, false);
        headers.put("Sequoiapass-Not-Executed", "1");
        connection.respond(421, headers, new byte[0]);
        return true;
      }
    }
    slots.acquire();
    try {
      runs.add(new Run(Case.now(), id, requestId, request));
      if (reportsRuns) {
        System.out.println("ran " + requestId + " at " + id);
      }
      Boolean kept = hook.answer(this, request, connection);
      if (kept != null) {
        return kept;
      }
      if (isModel) {
        return stream(request, connection);
      } else {
        Thread.sleep(workMs);
        Map<String, String> headers = headers(request, true);
        headers.put("Content-Type", "text/plain");
        connection.respond(200, headers, body(requestId).getBytes("UTF-8"));
      }
      return true;
    } finally {
      slots.release();
    }
  }

  static String body(String requestId) {
    return ("answer to " + requestId + " ").repeat(20);
  }

  private String event(String requestId, int number) {
    return "id: " + number + "\ndata: " + requestId + " piece " + number + " by " + version + "\n\n";
  }

  /** Writes a stream; returns whether the connection is kept. */
  boolean stream(Http.Message request, Http.Connection connection) throws Exception {
    boolean unframed = java.util.concurrent.ThreadLocalRandom.current().nextDouble() < unframedShare;
    String requestId = request.header("Sequoiapass-Request-Id");
    Map<String, String> headers = headers(request, true);
    headers.put("Content-Type", "text/event-stream");
    headers.put("Sequoiapass-Weight-Versions", "1");
    String last = request.header("Last-Event-Id");
    if (unframed) {
      headers.put("Connection", "close");
      connection.send(Http.head(200, headers) + "\r\n");
    } else {
      connection.begin(200, headers);
    }
    long due = System.nanoTime() + firstMs * 1_000_000;
    for (int i = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; i <= events; i++) {
      Thread.sleep(Math.max(0, (due - System.nanoTime()) / 1_000_000));
      if (unframed) {
        connection.send(event(requestId, i));
      } else {
        connection.chunk(event(requestId, i));
      }
      due += (long) (eventMs * 1_000_000);
    }
    if (!unframed) {
      connection.lastChunk();
    }
    return !unframed;
  }

  @Override
  public void close() throws Exception {
    beats = false;
    server.close();
  }
}
