package io.sequoiapass.daemon.version;

import io.sequoiapass.coordination.version.ConfigurationObject;
import io.sequoiapass.coordination.version.ConfigurationSnapshot;
import io.sequoiapass.coordination.version.HostHints;
import io.sequoiapass.coordination.version.Preset;
import java.util.List;

/** Hears of changes of the configuration; called under the node's lock, must not block. */
public interface ConfigurationListener {

  /**
   * Called when objects came into force.
   *
   * @param snapshot the configuration with them
   * @param newer the objects
   */
  void applied(ConfigurationSnapshot snapshot, List<ConfigurationObject> newer);

  /**
   * Called when a preset came into force.
   *
   * @param preset the preset
   */
  void presetInForce(Preset preset);

  /**
   * Called when the hosts that are leaving or gone changed.
   *
   * @param hints the hosts
   */
  void hostsChanged(HostHints hints);

  /**
   * Called when an object could not be read and is passed over.
   *
   * @param problem what is wrong with it
   */
  void objectRefused(String problem);

  /**
   * Called when a call to the platform failed.
   *
   * @param failure what happened
   */
  void platformFailed(Throwable failure);
}
