package io.sequoiapass.gateway.process;

import io.sequoiapass.gateway.spi.EndpointEntry;

/**
 * What all daemons together know of the speeds of endpoints.
 *
 * <p>Implementations are safe for use by several threads and must not block.
 */
interface EndpointSpeeds {

  /** Knows nothing. */
  EndpointSpeeds NONE =
      new EndpointSpeeds() {
        @Override
        public void sample(EndpointEntry entry, double actualMs, double expectedMs, long now) {}

        @Override
        public double slowdown(EndpointEntry entry, long now) {
          return 1;
        }
      };

  /**
   * Records how long an endpoint took.
   *
   * @param entry the endpoint
   * @param actualMs the time that it took, in milliseconds
   * @param expectedMs the time expected of an endpoint of average speed, in milliseconds
   * @param now the time, in milliseconds
   */
  void sample(EndpointEntry entry, double actualMs, double expectedMs, long now);

  /** Returns an endpoint's response time relative to the average; 1 if it is unknown. */
  double slowdown(EndpointEntry entry, long now);
}
