package io.sequoiapass.daemon.process.command;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.sequoiapass.daemon.connection.HttpRequestMessage;
import io.sequoiapass.daemon.connection.HttpResponder;
import io.sequoiapass.daemon.connection.HttpServer;
import io.sequoiapass.daemon.connection.platform.StoredObject;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** In-process fake of the platform's object API; safe for use by several threads. */
final class FakePlatform implements AutoCloseable {

  /** Fault injected into one write. */
  enum Fault {
    /** No fault. */
    NONE,
    /** The change takes effect and the answer is lost. */
    ANSWER_LOST,
    /** The connection closes before the change. */
    REQUEST_LOST,
    /** The rate is exceeded. */
    RATE_EXCEEDED,
    /** Another client changes the object first. */
    OVERTAKEN,
    /** The change takes effect, the answer is lost, and another client changes the object. */
    LOST_AND_OVERTAKEN
  }

  private static final String PREFIX = "/v1/objects/";
  private final Gson gson = new Gson();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpServer server;
  private final Map<String, StoredObject> objects = new TreeMap<>();
  private final Deque<Fault> faults = new ArrayDeque<>();
  private final List<String> operations = new ArrayList<>();
  private long revision;

  FakePlatform() throws IOException {
    server =
        HttpServer.builder(group, this::answer)
            .start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  String address() {
    return "127.0.0.1:" + server.port();
  }

  /** Injects faults into the next writes, one each. */
  synchronized void injectFaults(Fault... given) {
    faults.addAll(List.of(given));
  }

  synchronized void hold(String kind, String name, String value) {
    store(kind, name, JsonParser.parseString(value).getAsJsonObject(), "somebody-else");
  }

  /** Returns an object's value as text, or null. */
  synchronized String value(String key) {
    return objects.containsKey(key) ? objects.get(key).value().toString() : null;
  }

  synchronized List<String> keys() {
    return List.copyOf(objects.keySet());
  }

  /** Returns the operation of every write that reached the platform. */
  synchronized List<String> operations() {
    return List.copyOf(operations);
  }

  synchronized long revision() {
    return revision;
  }

  private StoredObject store(String kind, String name, JsonObject value, String operation) {
    StoredObject object = new StoredObject(kind, name, ++revision, operation, value);
    objects.put(kind + "/" + name, object);
    return object;
  }

  private synchronized void answer(HttpRequestMessage request, HttpResponder responder) {
    String key = request.path().substring(PREFIX.length());
    if (!request.method().equals("GET")) {
      write(key, request, responder);
    } else if (key.contains("/")) {
      StoredObject found = objects.get(key);
      responder.respond(found == null ? 404 : 200, Map.of(), gson.toJson(found));
    } else {
      List<StoredObject> items =
          objects.values().stream().filter(object -> object.kind().equals(key)).toList();
      responder.respond(
          200, Map.of(), "{\"revision\":" + revision + ",\"items\":" + gson.toJson(items) + "}");
    }
  }

  private void write(String key, HttpRequestMessage request, HttpResponder responder) {
    operations.add(request.header("Operation-Id").orElseThrow());
    Fault fault = faults.isEmpty() ? Fault.NONE : faults.poll();
    if (fault == Fault.REQUEST_LOST) {
      responder.abort();
      return;
    }
    if (fault == Fault.RATE_EXCEEDED) {
      responder.respond(429, Map.of("Retry-After", "0"), "{}");
      return;
    }
    if (fault == Fault.OVERTAKEN) {
      overtake(key);
    }
    int status = change(key, request);
    if (fault == Fault.LOST_AND_OVERTAKEN) {
      overtake(key);
    }
    if (fault == Fault.ANSWER_LOST || fault == Fault.LOST_AND_OVERTAKEN) {
      responder.abort();
    } else if (status == 409) {
      responder.respond(
          409,
          Map.of(),
          "{\"error\":\"conflict\",\"current\":" + gson.toJson(objects.get(key)) + "}");
    } else {
      responder.respond(status, Map.of(), gson.toJson(objects.get(key)));
    }
  }

  private void overtake(String key) {
    String[] parts = key.split("/", -1);
    JsonObject value = new JsonObject();
    if (objects.containsKey(key)) {
      value = objects.get(key).value().deepCopy();
    }
    value.addProperty("host", "moved");
    store(parts[0], parts[1], value, "somebody-else");
  }

  private int change(String key, HttpRequestMessage request) {
    StoredObject held = objects.get(key);
    long version = held == null ? PlatformSession.ABSENT : held.version();
    if (held == null && request.method().equals("DELETE")) {
      return 404;
    }
    if (Long.parseLong(request.header("If-Match").orElseThrow()) != version) {
      return 409;
    }
    if (request.method().equals("DELETE")) {
      objects.remove(key);
      revision++;
      return 200;
    }
    String[] parts = key.split("/", -1);
    JsonObject value = JsonParser.parseString(request.text()).getAsJsonObject();
    store(parts[0], parts[1], value, request.header("Operation-Id").orElseThrow());
    return 200;
  }

  @Override
  public void close() {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
