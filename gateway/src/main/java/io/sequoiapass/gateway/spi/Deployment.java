package io.sequoiapass.gateway.spi;

import io.sequoiapass.daemon.connection.HttpClient;
import java.util.Map;

/**
 * Provides what differs between platforms: settings, header and field names, formats and calls.
 *
 * <pre>{@code
 * Deployment deployment = ServiceLoader.load(Deployment.class).findFirst().orElseThrow();
 * HostSettings settings = deployment.settings(System.getenv());
 * }</pre>
 *
 * <p>Implementations have a public constructor without parameters, contain no policy, and are safe
 * for use by several threads.
 */
public interface Deployment {

  /**
   * Reads the settings of this host.
   *
   * @param environment the environment variables
   * @throws SettingsException if a setting is missing or invalid
   */
  HostSettings settings(Map<String, String> environment) throws SettingsException;

  /** Returns the wire protocol of the callers. */
  CallerProtocol callerProtocol();

  /** Returns the wire protocol of the endpoints. */
  EndpointProtocol endpointProtocol();

  /**
   * Returns the platform's store.
   *
   * @param http sends the calls
   * @param settings the host's settings, with the store's address
   */
  MetadataStore store(HttpClient http, HostSettings settings);
}
