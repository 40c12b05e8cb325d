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
 * HTTP client of the engine protocol.
 *
 * <pre>{@code
 * EngineClient engines = new EngineClient(http);
 * engines.complete(address, run, timeoutMs, listener);
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
public final class EngineClient {

  /** Timeout of unload, cancel and state calls; an engine answers these within one step. */
  /** Largest stream of one request, in bytes. */
  private static final int MAX_STREAM_BYTES = 64 << 20;

  private static final long ORDER_TIMEOUT_MS = 2_000;

  /**
   * Timeout of a load. A single load takes a quarter of a second, and ten concurrent loads share
   * the bandwidth. A load that takes longer hangs, and waiting longer would only delay the requests
   * that need it.
   */
  private static final long LOAD_TIMEOUT_MS = 10_000;

  private final HttpClient http;
  private final Gson gson = new Gson();

  /**
   * Creates a client.
   *
   * @param http the HTTP client that sends the calls
   */
  public EngineClient(HttpClient http) {
    this.http = http;
  }

  /**
   * Runs a completion.
   *
   * @param engine the engine's address
   * @param run the completion to run
   * @param timeoutMs maximum duration of the stream, in milliseconds
   * @param listener receives the frames and the end of the stream
   */
  public HttpStream complete(
      InetSocketAddress engine, EngineRun run, long timeoutMs, EngineStreamListener listener) {
    HttpCall call = HttpCall.to(engine, "POST", "/v1/completions").body(gson.toJson(run));
    return http.stream(
        call.maxBodyBytes(MAX_STREAM_BYTES), timeoutMs, new EngineStreamReader(gson, listener));
  }

  /**
   * Resumes a stream that the engine may still hold.
   *
   * @param engine the engine's address
   * @param request the request
   * @param from index of the first token to send
   * @param timeoutMs maximum duration of the stream, in milliseconds
   * @param listener receives the frames and the end of the stream
   */
  public HttpStream resume(
      InetSocketAddress engine,
      RequestId request,
      int from,
      long timeoutMs,
      EngineStreamListener listener) {
    HttpCall call = HttpCall.to(engine, "GET", "/v1/streams/" + request + "?from=" + from);
    return http.stream(
        call.maxBodyBytes(MAX_STREAM_BYTES), timeoutMs, new EngineStreamReader(gson, listener));
  }

  /**
   * Cancels a stream.
   *
   * @param engine the engine's address
   * @param request the request
   * @return completes once the engine has answered, even if it holds no such stream
   */
  public CompletableFuture<Void> cancel(InetSocketAddress engine, RequestId request) {
    HttpCall call = HttpCall.to(engine, "DELETE", "/v1/streams/" + request);
    return http.send(call, ORDER_TIMEOUT_MS).thenAccept(answer -> {});
  }

  /**
   * Orders the engine to load an adapter.
   *
   * @param engine the engine's address
   * @param fence the owner's fencing number
   * @param adapter the adapter and version to load
   * @return the handle of the load; fails with {@link EngineOrderException} as its cause if the
   *     engine refuses
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
   * Orders the engine to unload an adapter.
   *
   * @param engine the engine's address
   * @param fence the owner's fencing number
   * @param handle the handle of the load to release
   */
  public CompletableFuture<Void> unload(
      InetSocketAddress engine, FencingNumber fence, String handle) {
    JsonObject order = order("UNLOAD", fence);
    order.addProperty("handle", handle);
    return send(engine, order, ORDER_TIMEOUT_MS).thenAccept(answer -> {});
  }

  /**
   * Reads the adapters that the engine holds and the streams that it runs.
   *
   * @param engine the engine's address
   */
  public CompletableFuture<EngineState> state(InetSocketAddress engine) {
    HttpCall call = HttpCall.to(engine, "GET", "/v1/state");
    return http.send(call, ORDER_TIMEOUT_MS)
        .thenApply(EngineClient::requireOk)
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
    return http.send(call, timeoutMs).thenApply(EngineClient::requireOk);
  }

  private static HttpAnswer requireOk(HttpAnswer answer) {
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
