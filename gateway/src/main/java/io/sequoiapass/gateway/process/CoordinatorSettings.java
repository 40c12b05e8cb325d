package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;

/**
 * A coordinator's daemon and data centre.
 *
 * @param daemon this daemon
 * @param dataCentre its data centre
 */
record CoordinatorSettings(DaemonId daemon, DataCentreId dataCentre) {}
