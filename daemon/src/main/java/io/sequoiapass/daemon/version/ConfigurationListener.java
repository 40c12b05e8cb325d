package io.sequoiapass.daemon.version;

import io.sequoiapass.coordination.version.ConfigurationObject;
import io.sequoiapass.coordination.version.ConfigurationSnapshot;
import io.sequoiapass.coordination.version.HostHints;
import io.sequoiapass.coordination.version.Preset;
import java.util.List;

/**
 * Receives changes of the configuration. Called under the lock of the {@link ConfigurationNode};
 * must not block.
 */
public interface ConfigurationListener {

  /**
   * Called when newer objects have been applied.
   *
   * @param snapshot the configuration that includes them
   * @param newer the objects
   */
  void applied(ConfigurationSnapshot snapshot, List<ConfigurationObject> newer);

  /**
   * Called when a preset has come into force.
   *
   * @param preset the preset
   */
  void presetInForce(Preset preset);

  /**
   * Called when the set of leaving or absent hosts has changed.
   *
   * @param hints the leaving or absent hosts
   */
  void hostsChanged(HostHints hints);

  /**
   * Called when an object cannot be parsed and is ignored.
   *
   * @param problem a description of the problem
   */
  void objectRefused(String problem);

  /**
   * Called when a call to the platform has failed.
   *
   * @param failure the cause
   */
  void platformFailed(Throwable failure);
}
