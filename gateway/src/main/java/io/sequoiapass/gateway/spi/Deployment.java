package io.sequoiapass.gateway.spi;

import io.sequoiapass.daemon.connection.HttpClient;
import java.util.Map;

/**
 * Provides what differs between platforms: settings, names, formats and calls.
 *
 * <pre>{@code
 * Deployment deployment = ServiceLoader.load(Deployment.class).findFirst().orElseThrow();
 * HostSettings settings = deployment.settings(System.getenv());
 * }</pre>
 *
 * <p>Implementations have a public constructor without parameters, decide nothing, and are safe for
 * use by several threads.
 */
public interface Deployment {

  /**
   * Reads the settings of this host.
   *
   * @param environment the environment variables
   * @throws SettingsException if a setting is missing or wrong
   */
  HostSettings settings(Map<String, String> environment) throws SettingsException;

  /** Returns the names that callers speak. */
  CallerProtocol callerProtocol();

  /** Returns the names that endpoints speak. */
  EndpointProtocol endpointProtocol();

  /**
   * Returns the platform's store.
   *
   * @param http what carries the calls
   * @param settings where the store listens
   */
  MetadataStore store(HttpClient http, HostSettings settings);
}
