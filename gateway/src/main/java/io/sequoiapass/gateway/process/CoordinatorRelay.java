package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import java.util.function.BooleanSupplier;

/**
 * The coordinators' view of one kind of objects in the store. A coordinator itself relies only on
 * those before it. Coordinators push endpoints and releases; only configurations are fetched.
 *
 * <p>Safe for use by several threads.
 *
 * @param topic the kind of objects
 * @param here this daemon's data centre
 * @param node the links to the coordinators
 * @param confirmed whether coordinators may confirm the configuration
 * @param freshness how current their views are
 */
record CoordinatorRelay(
    StoreFreshness.Topic topic,
    DataCentreId here,
    CoordinationNode node,
    BooleanSupplier confirmed,
    StoreFreshness freshness)
    implements StoreFeed.Relay {

  @Override
  public boolean isFresh(long now) {
    if (topic == StoreFreshness.Topic.CONFIGURATION && !confirmed.getAsBoolean()) {
      return false;
    }
    return node.isCoordinator()
        ? freshness.areFreshForCoordinator(here, topic, now)
        : freshness.areFresh(topic, now);
  }

  @Override
  public boolean isExpected() {
    return node.expectsCoordinators();
  }

  @Override
  public long revision() {
    return topic == StoreFreshness.Topic.CONFIGURATION ? freshness.revision(topic) : 0;
  }
}
