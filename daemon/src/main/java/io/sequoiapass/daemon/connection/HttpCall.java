package io.sequoiapass.daemon.connection;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * An HTTP request to send.
 *
 * <pre>{@code
 * HttpCall call = HttpCall.to(address, "PUT", "/v1/objects/preset/current")
 *     .header("If-Match", "7")
 *     .body("{}");
 * }</pre>
 *
 * <p>Instances are immutable and thread-safe.
 */
public final class HttpCall {

  /** The body of the response may have any length. */
  static final int UNLIMITED = Integer.MAX_VALUE;

  private static final byte[] NO_BODY = new byte[0];

  private final InetSocketAddress address;
  private final String method;
  private final String path;
  private final Map<String, String> headers;
  private final byte[] body;
  private final ReusePolicy reuse;
  private final boolean resetIfAbandoned;
  private final int maxBodyBytes;
  private final ClientPresence client;

  private HttpCall(
      InetSocketAddress address,
      String method,
      String path,
      Map<String, String> headers,
      byte[] body,
      ReusePolicy reuse,
      boolean resetIfAbandoned,
      int maxBodyBytes,
      ClientPresence client) {
    this.address = Objects.requireNonNull(address, "address");
    this.method = Objects.requireNonNull(method, "method");
    this.path = Objects.requireNonNull(path, "path");
    this.headers = headers;
    this.body = body;
    this.reuse = reuse;
    this.resetIfAbandoned = resetIfAbandoned;
    this.maxBodyBytes = maxBodyBytes;
    this.client = client;
  }

  /**
   * Returns a call without headers or body.
   *
   * @param address the server's address
   * @param method the HTTP method
   * @param path the path and query
   */
  public static HttpCall to(InetSocketAddress address, String method, String path) {
    return new HttpCall(
        address,
        method,
        path,
        Map.of(),
        NO_BODY,
        ReusePolicy.ANY,
        false,
        UNLIMITED,
        ClientPresence.PERMANENT);
  }

  /**
   * Returns a copy of this call with one more header.
   *
   * @param name the header's name
   * @param value its value
   */
  public HttpCall header(String name, String value) {
    Map<String, String> more = new LinkedHashMap<>(headers);
    more.put(name, value);
    return new HttpCall(
        address, method, path, more, body, reuse, resetIfAbandoned, maxBodyBytes, client);
  }

  /**
   * Returns a copy of this call with a body.
   *
   * @param text the body, sent as UTF-8
   */
  public HttpCall body(String text) {
    return body(text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Returns a copy of this call with a body.
   *
   * @param bytes the body; not copied, so leave it unchanged
   */
  public HttpCall body(byte[] bytes) {
    return new HttpCall(
        address, method, path, headers, bytes, reuse, resetIfAbandoned, maxBodyBytes, client);
  }

  /**
   * Returns a copy of this call with all headers replaced.
   *
   * @param all the headers; not copied, so leave them unchanged
   */
  public HttpCall headers(Map<String, String> all) {
    return new HttpCall(
        address, method, path, all, body, reuse, resetIfAbandoned, maxBodyBytes, client);
  }

  /**
   * Returns a copy of this call that uses only connections allowed by a policy.
   *
   * @param policy the policy for reusing connections
   */
  public HttpCall reuse(ReusePolicy policy) {
    return new HttpCall(
        address, method, path, headers, body, policy, resetIfAbandoned, maxBodyBytes, client);
  }

  /**
   * Returns a copy of this call whose connection is reset when the call is cancelled or times out.
   * After a plain close, bytes delayed in the network are still delivered, and the request would
   * run seconds later with no client waiting.
   */
  public HttpCall resetIfAbandoned() {
    return new HttpCall(address, method, path, headers, body, reuse, true, maxBodyBytes, client);
  }

  /**
   * Returns a copy of this call that fails, and closes its connection, once the body of the
   * response exceeds a limit.
   *
   * @param bytes the limit, in bytes
   */
  public HttpCall maxBodyBytes(int bytes) {
    return new HttpCall(
        address, method, path, headers, body, reuse, resetIfAbandoned, bytes, client);
  }

  /**
   * Returns a copy of this call that is sent on behalf of a client: not before the client's
   * connection has been read lately, so that it is not sent if it is cancelled by then.
   *
   * @param presence the client
   */
  public HttpCall onBehalfOf(ClientPresence presence) {
    return new HttpCall(
        address, method, path, headers, body, reuse, resetIfAbandoned, maxBodyBytes, presence);
  }

  ClientPresence client() {
    return client;
  }

  int maxBodyBytes() {
    return maxBodyBytes;
  }

  boolean resetsIfAbandoned() {
    return resetIfAbandoned;
  }

  ReusePolicy reuse() {
    return reuse;
  }

  /** Returns the server's address. */
  public InetSocketAddress address() {
    return address;
  }

  String method() {
    return method;
  }

  /** Returns the path with the query. */
  public String path() {
    return path;
  }

  Map<String, String> headers() {
    return headers;
  }

  /** Returns the value of a header, whose name may be written in any case; empty if absent. */
  public Optional<String> header(String name) {
    return headers.entrySet().stream()
        .filter(header -> header.getKey().equalsIgnoreCase(name))
        .map(Map.Entry::getValue)
        .findFirst();
  }

  byte[] body() {
    return body;
  }

  @Override
  public String toString() {
    return method + " " + address + path;
  }
}
