package io.sequoiapass.testbed.wire;

import com.google.gson.JsonObject;
import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpCall;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * Client for the platform's objects, as an operator's tool uses it; retries writes that exceed the
 * platform's rate limit.
 *
 * <p>Safe for use by several threads.
 */
public final class PlatformObjects {

  private static final int MAX_ATTEMPTS = 100;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final long RETRY_INTERVAL_MS = 100;

  private final BlockingHttp http;
  private final InetSocketAddress platform;

  /**
   * Creates a client.
   *
   * @param http the HTTP client
   * @param platform address of the platform
   */
  public PlatformObjects(BlockingHttp http, InetSocketAddress platform) {
    this.http = Objects.requireNonNull(http, "http");
    this.platform = Objects.requireNonNull(platform, "platform");
  }

  /**
   * Writes an object, replacing any existing value.
   *
   * @param kind the object's kind
   * @param name its name
   * @param value its value
   * @throws IOException if the platform rejects the write
   * @throws InterruptedException if the wait is interrupted
   */
  public void put(String kind, String name, Object value) throws IOException, InterruptedException {
    HttpCall call =
        HttpCall.to(platform, "PUT", "/v1/objects/" + kind + "/" + name)
            .header("Operation-Id", "testbed-" + kind + "-" + name)
            .body(Json.GSON.toJson(value));
    HttpAnswer answer = http.send(call);
    for (int attempts = 1;
        answer.status() == TOO_MANY_REQUESTS && attempts < MAX_ATTEMPTS;
        attempts++) {
      Thread.sleep(RETRY_INTERVAL_MS);
      answer = http.send(call);
    }
    if (!answer.ok()) {
      throw new IOException(call + ": " + answer.status() + " " + answer.text());
    }
  }

  /**
   * Sets the platform's host list; it becomes visible after the configured lag.
   *
   * @param hosts the hosts
   * @throws IOException if the platform rejects the write
   * @throws InterruptedException if the wait is interrupted
   */
  public void putHosts(ObjectValues.Hosts hosts) throws IOException, InterruptedException {
    http.read(
        HttpCall.to(platform, "PUT", "/hosts").body(Json.GSON.toJson(hosts)), JsonObject.class);
  }

  /**
   * Returns an object's value.
   *
   * @param kind the object's kind
   * @param name its name
   * @throws IOException if the object does not exist or cannot be read
   * @throws InterruptedException if the wait is interrupted
   */
  public JsonObject value(String kind, String name) throws IOException, InterruptedException {
    HttpCall call = HttpCall.to(platform, "GET", "/v1/objects/" + kind + "/" + name);
    return http.read(call, JsonObject.class).getAsJsonObject("value");
  }
}
