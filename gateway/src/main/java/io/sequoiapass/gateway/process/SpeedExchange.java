package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.connection.RoomMessage;
import io.sequoiapass.gateway.spi.EndpointEntry;
import java.util.List;
import java.util.Optional;

/**
 * Exchanges speeds of endpoints with their coordinators.
 *
 * <p>Safe for use by several threads.
 */
final class SpeedExchange implements LinkModule, EndpointSpeeds {

  private final EndpointDirectory directory;
  private final GatewayMetrics metrics;
  private final SpeedReporter reporter = new SpeedReporter();
  private final SharedSpeeds shared = new SharedSpeeds();

  /**
   * Creates an exchange that knows no speeds.
   *
   * @param directory the endpoints
   * @param metrics the counters
   */
  SpeedExchange(EndpointDirectory directory, GatewayMetrics metrics) {
    this.directory = directory;
    this.metrics = metrics;
  }

  @Override
  public void sample(EndpointEntry entry, double actualMs, double expectedMs, long now) {
    if (!reporter.add(entry, actualMs, expectedMs, now)) {
      metrics.count("sequoiapass_speed_samples_dropped_total");
    }
  }

  @Override
  public double slowdown(EndpointEntry entry, long now) {
    return shared.slowdown(entry.dataCentre(), entry.endpoint(), entry.startTimeMs(), now);
  }

  @Override
  public Optional<LinkMessage> report(DataCentreId coordinator, long now) {
    List<RoomMessage.SpeedSamples> samples = reporter.take(coordinator, now);
    return samples.isEmpty() ? Optional.empty() : Optional.of(new RoomMessage.SpeedReport(samples));
  }

  @Override
  public void receive(DataCentreId coordinator, LinkMessage message, long now) {
    if (message instanceof RoomMessage.Speeds speeds) {
      shared.update(coordinator, speeds, id -> directory.entry(id).isPresent(), now);
    }
  }

  @Override
  public void lost(DataCentreId coordinator, long now) {
    shared.lost(coordinator);
  }
}
