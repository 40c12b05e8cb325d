package io.sequoiapass.daemon.connection.engine;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.FencingNumber;
import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.daemon.connection.HttpClient;
import io.sequoiapass.daemon.connection.HttpStream;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/**
 * Speaks the engines' protocol.
 *
 * <pre>{@code
 * EngineClient engines = new EngineClient(http);
 * engines.complete(address, run, timeoutMs, listener);
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
public final class EngineClient {

  /** How long an order other than a load may take; an engine answers these within a step. */
  private static final long ORDER_TIMEOUT_MS = 2_000;

  /**
   * How long a load may take. A load alone takes a quarter of a second and ten at once share the
   * speed; beyond this the load hangs, and waiting longer would only hold its requests.
   */
  private static final long LOAD_TIMEOUT_MS = 10_000;

  private final HttpClient http;
  private final Gson gson = new Gson();

  /**
   * Makes a client.
   *
   * @param http what carries the calls
   */
  public EngineClient(HttpClient http) {
    this.http = http;
  }

  /**
   * Runs a completion.
   *
   * @param engine where
   * @param run what
   * @param timeoutMs the longest that the stream may take, in milliseconds
   * @param listener hears the stream
   */
  public HttpStream complete(
      InetSocketAddress engine, EngineRun run, long timeoutMs, EngineStreamListener listener) {
    HttpCall call = HttpCall.to(engine, "POST", "/v1/completions").body(gson.toJson(run));
    return http.stream(call, timeoutMs, new EngineStreamReader(gson, listener));
  }

  /**
   * Goes on with a stream that the engine may still have.
   *
   * @param engine where
   * @param request the request
   * @param from index of the first token wanted
   * @param timeoutMs the longest that the stream may take, in milliseconds
   * @param listener hears the stream
   */
  public HttpStream resume(
      InetSocketAddress engine,
      RequestId request,
      int from,
      long timeoutMs,
      EngineStreamListener listener) {
    HttpCall call = HttpCall.to(engine, "GET", "/v1/streams/" + request + "?from=" + from);
    return http.stream(call, timeoutMs, new EngineStreamReader(gson, listener));
  }

  /**
   * Cancels a stream.
   *
   * @param engine where
   * @param request the request
   * @return ends once the engine answered, whether it knew the stream or not
   */
  public CompletableFuture<Void> cancel(InetSocketAddress engine, RequestId request) {
    HttpCall call = HttpCall.to(engine, "DELETE", "/v1/streams/" + request);
    return http.send(call, ORDER_TIMEOUT_MS).thenAccept(answer -> {});
  }

  /**
   * Orders a load.
   *
   * @param engine where
   * @param fence the owner's fencing number
   * @param adapter what to load
   * @return the handle; ends with {@link EngineOrderException} as its cause when refused
   */
  public CompletableFuture<String> load(
      InetSocketAddress engine, FencingNumber fence, AdapterVersion adapter) {
    JsonObject order = order("LOAD", fence);
    order.addProperty("adapter", adapter.adapter().value());
    order.addProperty("version", adapter.version().value());
    return send(engine, order, LOAD_TIMEOUT_MS)
        .thenApply(answer -> gson.fromJson(answer.text(), JsonObject.class))
        .thenApply(body -> body.get("handle").getAsString());
  }

  /**
   * Orders an unload.
   *
   * @param engine where
   * @param fence the owner's fencing number
   * @param handle the load to undo
   */
  public CompletableFuture<Void> unload(
      InetSocketAddress engine, FencingNumber fence, String handle) {
    JsonObject order = order("UNLOAD", fence);
    order.addProperty("handle", handle);
    return send(engine, order, ORDER_TIMEOUT_MS).thenAccept(answer -> {});
  }

  /**
   * Asks what the engine holds and runs.
   *
   * @param engine where
   */
  public CompletableFuture<EngineState> state(InetSocketAddress engine) {
    HttpCall call = HttpCall.to(engine, "GET", "/v1/state");
    return http.send(call, ORDER_TIMEOUT_MS)
        .thenApply(EngineClient::accepted)
        .thenApply(answer -> gson.fromJson(answer.text(), EngineState.class));
  }

  private static JsonObject order(String name, FencingNumber fence) {
    JsonObject order = new JsonObject();
    order.addProperty("order", name);
    order.addProperty("fence", fence.value());
    return order;
  }

  private CompletableFuture<HttpAnswer> send(
      InetSocketAddress engine, JsonObject order, long timeoutMs) {
    HttpCall call = HttpCall.to(engine, "POST", "/v1/orders").body(gson.toJson(order));
    return http.send(call, timeoutMs).thenApply(EngineClient::accepted);
  }

  private static HttpAnswer accepted(HttpAnswer answer) {
    if (!answer.ok()) {
      throw new CompletionException(new EngineOrderException(refusal(new Gson(), answer.text())));
    }
    return answer;
  }

  static EngineRefusal refusal(Gson gson, String body) {
    try {
      JsonObject json = gson.fromJson(body, JsonObject.class);
      return json == null || !json.has("error")
          ? EngineRefusal.OTHER
          : EngineRefusal.of(json.get("error").getAsString());
    } catch (JsonParseException | IllegalStateException notJson) {
      return EngineRefusal.OTHER;
    }
  }
}
