package io.sequoiapass.testbed;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** HTTP client for tests; each call times out after 10 s. */
public final class HttpProbe {

  private static final HttpClient CLIENT =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  private final InetSocketAddress address;

  public HttpProbe(InetSocketAddress address) {
    this.address = address;
  }

  public HttpResponse<String> call(String method, String path, String body, String... headers)
      throws IOException, InterruptedException {
    return CLIENT.send(request(method, path, body, headers), HttpResponse.BodyHandlers.ofString());
  }

  public CompletableFuture<HttpResponse<String>> start(String method, String path, String body) {
    return CLIENT.sendAsync(request(method, path, body), HttpResponse.BodyHandlers.ofString());
  }

  public JsonObject json(String path) throws IOException, InterruptedException {
    return JsonParser.parseString(call("GET", path, "").body()).getAsJsonObject();
  }

  private HttpRequest request(String method, String path, String body, String... headers) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + path))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .timeout(Duration.ofSeconds(10));
    for (int i = 0; i < headers.length; i += 2) {
      builder.header(headers[i], headers[i + 1]);
    }
    return builder.build();
  }
}
