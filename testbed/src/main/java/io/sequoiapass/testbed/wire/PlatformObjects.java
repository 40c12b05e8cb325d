package io.sequoiapass.testbed.wire;

import com.google.gson.JsonObject;
import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpCall;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * Reads and writes the platform's objects as an operator's tool does; waits where the platform
 * refuses for its rate.
 *
 * <p>Safe for use by several threads.
 */
public final class PlatformObjects {

  private static final int MAX_TRIES = 100;
  private static final int TOO_MANY = 429;
  private static final long PAUSE_MS = 100;

  private final BlockingHttp http;
  private final InetSocketAddress platform;

  /**
   * Makes a client.
   *
   * @param http what sends the calls
   * @param platform where the platform listens
   */
  public PlatformObjects(BlockingHttp http, InetSocketAddress platform) {
    this.http = Objects.requireNonNull(http, "http");
    this.platform = Objects.requireNonNull(platform, "platform");
  }

  /**
   * Writes an object, whatever stood there.
   *
   * @param kind the object's kind
   * @param name its name
   * @param value its value
   * @throws IOException if the platform does not take it
   * @throws InterruptedException if the wait is interrupted
   */
  public void put(String kind, String name, Object value) throws IOException, InterruptedException {
    HttpCall call =
        HttpCall.to(platform, "PUT", "/v1/objects/" + kind + "/" + name)
            .header("Operation-Id", "testbed-" + kind + "-" + name)
            .body(Json.GSON.toJson(value));
    HttpAnswer answer = http.send(call);
    for (int tries = 1; answer.status() == TOO_MANY && tries < MAX_TRIES; tries++) {
      Thread.sleep(PAUSE_MS);
      answer = http.send(call);
    }
    if (!answer.ok()) {
      throw new IOException(call + ": " + answer.status() + " " + answer.text());
    }
  }

  /**
   * Sets the platform's host list, which others see after its lag.
   *
   * @param hosts the hosts
   * @throws IOException if the platform does not take it
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
   * @throws IOException if there is none
   * @throws InterruptedException if the wait is interrupted
   */
  public JsonObject value(String kind, String name) throws IOException, InterruptedException {
    HttpCall call = HttpCall.to(platform, "GET", "/v1/objects/" + kind + "/" + name);
    return http.read(call, JsonObject.class).getAsJsonObject("value");
  }
}
