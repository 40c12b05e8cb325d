package io.sequoiapass.daemon.process;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.google.gson.Gson;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;

/** Writes metrics as JSON. */
final class MetricsJson {

  private static final Gson GSON = new Gson();

  private MetricsJson() {}

  static String of(MetricRegistry registry) {
    JsonObject json = new JsonObject();
    registry.getCounters().forEach((name, counter) -> json.addProperty(name, counter.getCount()));
    registry
        .getGauges()
        .forEach((name, gauge) -> json.add(name, GSON.toJsonTree(gauge.getValue())));
    registry.getHistograms().forEach((name, histogram) -> json.add(name, histogram(histogram)));
    registry.getMeters().forEach((name, meter) -> json.addProperty(name, meter.getCount()));
    return GSON.toJson(json);
  }

  private static JsonElement histogram(Histogram histogram) {
    Snapshot snapshot = histogram.getSnapshot();
    JsonObject json = new JsonObject();
    json.addProperty("count", histogram.getCount());
    json.addProperty("p50", snapshot.getMedian());
    json.addProperty("p95", snapshot.get95thPercentile());
    json.addProperty("p99", snapshot.get99thPercentile());
    json.addProperty("max", snapshot.getMax());
    return json;
  }
}
