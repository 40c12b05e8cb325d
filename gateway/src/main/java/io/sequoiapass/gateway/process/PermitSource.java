package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;

/**
 * Where this daemon gets permits for requests to endpoints that accept only so many.
 * Implementations are safe for use by several threads and do not block.
 */
interface PermitSource {

  /** Has no coordinator. */
  PermitSource NONE =
      new PermitSource() {
        @Override
        public boolean isConnected(DataCentreId dataCentre) {
          return false;
        }

        @Override
        public int daemons() {
          return 0;
        }

        @Override
        public void ask(
            DataCentreId dataCentre,
            EndpointId endpoint,
            double requestsPerS,
            int mostAtOnce,
            long usefulMs) {}
      };

  /** Returns whether the coordinator of a data centre is connected. */
  boolean isConnected(DataCentreId dataCentre);

  /** Returns the number of daemons that send requests to the endpoints; 0 if it is unknown. */
  int daemons();

  /**
   * Asks the coordinator of a data centre for a permit.
   *
   * @param dataCentre the endpoint's data centre
   * @param endpoint the endpoint
   * @param requestsPerS the limit that it has named, in requests a second
   * @param mostAtOnce the largest number of permits that are granted at once
   * @param usefulMs how long the request can wait for it, in milliseconds
   */
  void ask(
      DataCentreId dataCentre,
      EndpointId endpoint,
      double requestsPerS,
      int mostAtOnce,
      long usefulMs);
}
