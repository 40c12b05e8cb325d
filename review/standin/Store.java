import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store, as PROTOCOL.md describes it. It loses nothing and is never down. */
final class Store {

  private static final String OBJECTS = "/v1/objects/";
  private static final int PAGE = 500;
  private static final long ANSWER_MS = 4;

  private record Event(long at, String kind, JsonObject object, boolean deleted) {}

  private final Map<String, TreeMap<String, JsonObject>> kinds = new TreeMap<>();
  private final List<Event> history = new ArrayList<>();
  private final Http.Server server;
  private long revision = 100;

  Store(String ip) throws IOException {
    server = new Http.Server(ip, this::handle);
  }

  String address() {
    return server.address();
  }

  synchronized JsonObject get(String kind, String name) {
    return objects(kind).get(name);
  }

  private TreeMap<String, JsonObject> objects(String kind) {
    return kinds.computeIfAbsent(kind, any -> new TreeMap<>());
  }

  /** Creates or replaces an object, without a condition. */
  synchronized void put(String kind, String name, JsonElement specification) {
    JsonObject before = objects(kind).get(name);
    if (before != null && before.get("Specification").equals(specification)) {
      return;
    }
    JsonObject metadata = new JsonObject();
    metadata.addProperty("Name", name);
    metadata.addProperty("Revision", ++revision);
    metadata.add(
        "Created",
        before == null
            ? metadata.get("Revision")
            : before.getAsJsonObject("Metadata").get("Created"));
    metadata.add("Finalizers", new JsonArray());
    metadata.addProperty("Deleting", false);
    JsonObject object = new JsonObject();
    object.add("Metadata", metadata);
    object.add("Specification", specification);
    object.add("Status", JsonNull.INSTANCE);
    objects(kind).put(name, object);
    changed(new Event(revision, kind, object, false));
  }

  synchronized void delete(String kind, String name) {
    JsonObject object = objects(kind).remove(name);
    if (object != null) {
      changed(new Event(++revision, kind, object, true));
    }
  }

  private void changed(Event event) {
    history.add(event);
    notifyAll();
  }

  private void handle(Http.Connection connection, Http.Request request) throws Exception {
    Thread.sleep(ANSWER_MS);
    String[] path = request.path().substring(OBJECTS.length()).split("/", -1);
    String name = path.length > 1 ? URLDecoder.decode(path[1], StandardCharsets.UTF_8) : "";
    switch (request.method()) {
      case "GET" -> {
        if (!request.query("Watch").isEmpty()) {
          watch(connection, path[0], request);
        } else if (name.isEmpty()) {
          list(connection, path[0], request.query("after"));
        } else {
          JsonObject object = get(path[0], name);
          answer(connection, object == null ? 404 : 200, object == null ? new JsonObject() : object);
        }
      }
      case "POST", "PUT" -> write(connection, path[0], name, request);
      case "DELETE" -> {
        delete(path[0], name);
        answer(connection, 200, new JsonObject());
      }
      default -> answer(connection, 400, new JsonObject());
    }
  }

  private static void answer(Http.Connection connection, int status, JsonObject body)
      throws IOException {
    connection.respond(status, Map.of("Content-Type", "application/json"), body.toString());
  }

  private void list(Http.Connection connection, String kind, String after) throws IOException {
    JsonObject body = new JsonObject();
    synchronized (this) {
      JsonArray items = new JsonArray();
      Map<String, JsonObject> rest = objects(kind).tailMap(after, false);
      rest.values().stream().limit(PAGE).forEach(items::add);
      body.add("items", items);
      body.addProperty("HasMore", rest.size() > PAGE);
      body.addProperty("StoreRevision", revision);
    }
    answer(connection, 200, body);
  }

  private void watch(Http.Connection connection, String kind, Http.Request request)
      throws Exception {
    long after = Long.parseLong(request.query("Watch"));
    long until = System.currentTimeMillis() + Long.parseLong(request.query("WaitMs"));
    JsonObject body = new JsonObject();
    synchronized (this) {
      JsonArray events = events(kind, after);
      long leftMs = until - System.currentTimeMillis();
      while (events.isEmpty() && leftMs > 0) {
        wait(leftMs);
        events = events(kind, after);
        leftMs = until - System.currentTimeMillis();
      }
      body.add("events", events);
      body.addProperty("StoreRevision", revision);
    }
    answer(connection, 200, body);
  }

  private JsonArray events(String kind, long after) {
    JsonArray events = new JsonArray();
    for (Event event : history) {
      if (event.at() > after && event.kind().equals(kind)) {
        JsonObject item = new JsonObject();
        item.addProperty("Deleted", event.deleted());
        item.add("Object", event.object());
        events.add(item);
      }
    }
    return events;
  }

  private void write(
      Http.Connection connection, String kind, String name, Http.Request request)
      throws IOException {
    JsonObject body =
        JsonParser.parseString(new String(request.body(), StandardCharsets.UTF_8))
            .getAsJsonObject();
    JsonObject metadata = body.getAsJsonObject("Metadata");
    String written = name.isEmpty() ? metadata.get("Name").getAsString() : name;
    int status;
    JsonObject answer;
    synchronized (this) {
      JsonObject before = objects(kind).get(written);
      boolean conflicts =
          name.isEmpty()
              ? before != null
              : before != null
                  && metadata.has("Revision")
                  && metadata.get("Revision").getAsLong()
                      != before.getAsJsonObject("Metadata").get("Revision").getAsLong();
      if (!name.isEmpty() && before == null) {
        status = 404;
        answer = new JsonObject();
      } else if (conflicts) {
        status = 409;
        answer = before;
      } else {
        put(kind, written, body.get("Specification"));
        status = name.isEmpty() ? 201 : 200;
        answer = objects(kind).get(written);
      }
    }
    answer(connection, status, answer);
  }
}
