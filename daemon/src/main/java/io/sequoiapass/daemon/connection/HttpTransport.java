package io.sequoiapass.daemon.connection;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/** Sends HTTP calls to servers; see {@link HttpClient}. Safe for use by several threads. */
public interface HttpTransport {

  /** Returns what bounds the bytes of responses that are not complete. */
  ResponseMemory memory();

  /**
   * Sends a call and collects its response.
   *
   * @param call the request
   * @param timeoutMs maximum time until the response is complete, in milliseconds
   * @return the response; completes exceptionally with an {@link HttpFailure} if there is no
   *     complete response
   */
  CompletableFuture<HttpAnswer> send(HttpCall call, long timeoutMs);

  /**
   * Sends a call and passes its response to a listener part by part.
   *
   * @param call the request
   * @param timeoutMs maximum time until the response is complete, in milliseconds
   * @param listener receives the response, never before this method has returned
   */
  HttpStream stream(HttpCall call, long timeoutMs, HttpStreamListener listener);

  /**
   * Opens a connection and closes it again.
   *
   * @param address the server's address
   * @return completes exceptionally with an {@link HttpFailure} if the connection is not opened
   */
  CompletableFuture<Void> connect(InetSocketAddress address);

  /**
   * Opens a connection and closes it again.
   *
   * @param address the server's address
   * @return whether the connection could be opened
   */
  default CompletableFuture<Boolean> canConnect(InetSocketAddress address) {
    return connect(address).handle((opened, failure) -> failure == null);
  }
}
