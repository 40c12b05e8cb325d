package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.process.RetryTerms;
import io.sequoiapass.gateway.spi.HostSettings;

/**
 * A coordinator's daemon and data centre, and what the data centres share.
 *
 * @param daemon this daemon
 * @param dataCentre its data centre
 * @param dataCentres number of data centres
 * @param retries the retry budget of each service
 * @param linkBytesPerS rate of the host's network link, in bytes a second
 */
record CoordinatorSettings(
    DaemonId daemon,
    DataCentreId dataCentre,
    int dataCentres,
    RetryTerms retries,
    long linkBytesPerS) {

  /** Rate of a network link that is not stated, in bytes a second: that of a small host. */
  static final long UNSTATED_LINK_BYTES_PER_S = 1_250_000;

  /** Returns the settings of a coordinator on a host. */
  static CoordinatorSettings of(HostSettings host) {
    return new CoordinatorSettings(
        host.daemon(),
        host.dataCentre(),
        host.regions().size(),
        host.bounds().retryTerms(),
        host.linkBytesPerS().orElse(UNSTATED_LINK_BYTES_PER_S));
  }
}
