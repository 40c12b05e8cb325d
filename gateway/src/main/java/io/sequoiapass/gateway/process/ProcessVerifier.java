package io.sequoiapass.gateway.process;

import io.sequoiapass.daemon.connection.HttpTransport;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.spi.MetadataStore;
import io.sequoiapass.gateway.spi.StoreKind;
import io.sequoiapass.gateway.spi.Stored;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Finds out which process listens at an endpoint's address: opens a connection, and reads the
 * endpoint's entry after that. A process registers before it serves, so the entry is that of the
 * process which has accepted the connection.
 *
 * <p>Safe for use by several threads; {@link #accept} does not block.
 */
final class ProcessVerifier implements Consumer<EndpointEntry> {

  private final HttpTransport http;
  private final MetadataStore store;
  private final EndpointDirectory directory;
  private final Executor loop;
  private final GatewayMetrics metrics;
  private final Set<EndpointEntry> running = ConcurrentHashMap.newKeySet();

  /**
   * Creates it.
   *
   * @param http opens connections to endpoints
   * @param store holds their entries
   * @param directory receives the entries
   * @param loop runs calls and callbacks
   * @param metrics counts verifications
   */
  ProcessVerifier(
      HttpTransport http,
      MetadataStore store,
      EndpointDirectory directory,
      Executor loop,
      GatewayMetrics metrics) {
    this.http = http;
    this.store = store;
    this.directory = directory;
    this.loop = loop;
    this.metrics = metrics;
  }

  /** Verifies an endpoint, unless that is under way. */
  @Override
  public void accept(EndpointEntry entry) {
    if (running.add(entry)) {
      loop.execute(() -> verify(entry));
    }
  }

  private void verify(EndpointEntry entry) {
    http.canConnect(entry.address())
        .thenCompose(
            isOpen ->
                isOpen
                    ? store.get(StoreKind.ENDPOINTS, entry.endpoint().value())
                    : CompletableFuture.completedFuture(Optional.<Stored<EndpointEntry>>empty()))
        .whenComplete(
            (found, failure) -> {
              running.remove(entry);
              boolean isRead = failure == null && found.isPresent();
              metrics.count("sequoiapass_processes_verified_total{read=\"" + isRead + "\"}");
              loop.execute(
                  isRead
                      ? () -> directory.verified(found.get())
                      : () -> directory.verificationFailed(entry));
            });
  }
}
