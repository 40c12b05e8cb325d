import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's store: objects with revisions, conditional writes, pages and watches. */
final class Store implements AutoCloseable {

  private static final Pattern NAME = Pattern.compile("\"Name\"\\s*:\\s*\"([^\"]*)\"");
  private static final Pattern REVISION = Pattern.compile("\"Revision\"\\s*:\\s*(\\d+)");

  private record Item(String kind, String name, long revision, long created, String value) {
    String json() {
      return "{\"Metadata\":{\"Name\":\""
          + name
          + "\",\"Revision\":"
          + revision
          + ",\"Created\":"
          + created
          + ",\"Finalizers\":[],\"Deleting\":false},\"Specification\":"
          + value
          + ",\"Status\":null}";
    }
  }

  private record Event(long at, boolean deleted, Item item) {}

  /** May change what is done with a call, before it is carried out. */
  interface Fault {
    /** Returns false if the call has been dealt with. */
    boolean before(Http.Message call, Http.Connection connection) throws Exception;
  }

  private final Map<String, TreeMap<String, Item>> kinds = new TreeMap<>();
  private final List<Event> events = new ArrayList<>();
  private final Http.Server server;
  private long revision = 100;
  volatile Fault fault = (call, connection) -> true;
  final List<String> writes = new ArrayList<>();

  Store(String ip) throws Exception {
    server = new Http.Server(ip, 0, this::handle);
  }

  int port() {
    return server.port();
  }

  synchronized long put(String kind, String name, String value) {
    TreeMap<String, Item> objects = kinds.computeIfAbsent(kind, k -> new TreeMap<>());
    Item before = objects.get(name);
    if (before != null && before.value.equals(value)) {
      return before.revision;
    }
    revision++;
    Item item = new Item(kind, name, revision, before == null ? revision : before.created, value);
    objects.put(name, item);
    events.add(new Event(revision, false, item));
    notifyAll();
    return revision;
  }

  synchronized void delete(String kind, String name) {
    Item item = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
    if (item != null) {
      revision++;
      events.add(
          new Event(revision, true, new Item(kind, name, revision, item.created, item.value)));
      notifyAll();
    }
  }

  synchronized String value(String kind, String name) {
    Item item = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
    return item == null ? "" : item.value;
  }

  private boolean handle(Http.Message call, Http.Connection connection) throws Exception {
    if (!fault.before(call, connection)) {
      return false;
    }
    Answer answer = answer(call);
    connection.respond(
        answer.status,
        new LinkedHashMap<>(Map.of("Content-Type", "application/json")),
        answer.body.getBytes("UTF-8"));
    return true;
  }

  record Answer(int status, String body) {}

  /** Carries out a call. */
  Answer answer(Http.Message call) throws Exception {
    String target = call.target();
    int mark = target.indexOf('?');
    Map<String, String> query = new TreeMap<>();
    if (mark >= 0) {
      for (String part : target.substring(mark + 1).split("&")) {
        int equals = part.indexOf('=');
        query.put(
            part.substring(0, equals),
            java.net.URLDecoder.decode(part.substring(equals + 1), "UTF-8"));
      }
    }
    String path = (mark < 0 ? target : target.substring(0, mark)).substring("/v1/objects/".length());
    int slash = path.indexOf('/');
    String kind = slash < 0 ? path : path.substring(0, slash);
    String name = slash < 0 ? "" : java.net.URLDecoder.decode(path.substring(slash + 1), "UTF-8");
    if (!call.method().equals("GET")) {
      return write(call, kind, name);
    }
    if (query.containsKey("Watch")) {
      return watch(
          kind, Long.parseLong(query.get("Watch")), Long.parseLong(query.getOrDefault("WaitMs", "0")));
    }
    return name.isEmpty() ? list(kind, query.getOrDefault("after", "")) : get(kind, name);
  }

  private synchronized Answer get(String kind, String name) {
    Item item = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
    return item == null ? new Answer(404, "{}") : new Answer(200, item.json());
  }

  private synchronized Answer list(String kind, String after) {
    StringBuilder items = new StringBuilder();
    int count = 0;
    boolean hasMore = false;
    for (Item item : kinds.getOrDefault(kind, new TreeMap<>()).tailMap(after, false).values()) {
      if (count == 500) {
        hasMore = true;
        break;
      }
      items.append(count++ == 0 ? "" : ",").append(item.json());
    }
    return new Answer(
        200,
        "{\"items\":[" + items + "],\"HasMore\":" + hasMore + ",\"StoreRevision\":" + revision + "}");
  }

  private synchronized Answer watch(String kind, long after, long waitMs) throws Exception {
    long until = System.nanoTime() + waitMs * 1_000_000;
    while (true) {
      List<String> found = new ArrayList<>();
      for (int i = events.size() - 1; i >= 0 && events.get(i).at > after; i--) {
        if (events.get(i).item.kind.equals(kind)) {
          found.add(0, json(events.get(i)));
        }
      }
      long leftMs = (until - System.nanoTime()) / 1_000_000;
      if (!found.isEmpty() || leftMs <= 0) {
        return new Answer(
            200,
            "{\"events\":[" + String.join(",", found) + "],\"StoreRevision\":" + revision + "}");
      }
      wait(leftMs);
    }
  }

  private static String json(Event event) {
    return "{\"Deleted\":" + event.deleted + ",\"Object\":" + event.item.json() + "}";
  }

  private synchronized Answer write(Http.Message call, String kind, String nameOfPath) {
    String body = call.text();
    int at = body.indexOf("\"Specification\"");
    String metadata = at < 0 ? body : body.substring(0, at);
    Matcher named = NAME.matcher(metadata);
    String name = nameOfPath.isEmpty() && named.find() ? named.group(1) : nameOfPath;
    Item before = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
    Matcher expected = REVISION.matcher(metadata);
    boolean conflicts =
        expected.find()
            && before != null
            && before.revision != Long.parseLong(expected.group(1));
    writes.add(System.nanoTime() / 1_000_000 + " " + call.start + " " + body);
    if (call.method().equals("POST") && before != null || conflicts) {
      return new Answer(409, before.json());
    }
    if (!call.method().equals("POST") && before == null) {
      return new Answer(404, "{}");
    }
    if (call.method().equals("DELETE")) {
      delete(kind, name);
      return new Answer(200, "{}");
    }
    String value = body.substring(body.indexOf(':', at) + 1, body.lastIndexOf('}')).trim();
    put(kind, name, value);
    return new Answer(
        call.method().equals("POST") ? 201 : 200, kinds.get(kind).get(name).json());
  }

  @Override
  public void close() throws Exception {
    server.close();
  }
}
