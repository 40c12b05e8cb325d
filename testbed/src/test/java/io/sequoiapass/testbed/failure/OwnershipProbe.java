package io.sequoiapass.testbed.failure;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.DaemonNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/** Asks a cluster's daemons and platform what they hold, and waits for it with a bound. */
final class OwnershipProbe {

  private static final long LOOK_MS = 20;

  /** Several rounds of balance. */
  private static final long STEADY_MS = 3_000;

  private final Cluster cluster;

  OwnershipProbe(Cluster cluster) {
    this.cluster = cluster;
  }

  /** Waits until a condition holds; returns how long that took, or fails after the limit. */
  long await(String what, long limitMs, Callable<Boolean> condition) throws Exception {
    long start = System.nanoTime();
    long looks = 0;
    while (!condition.call()) {
      looks++;
      long passedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
      if (passedMs > limitMs || looks > limitMs) {
        throw new AssertionError(what + ": not within " + limitMs + " ms");
      }
      Thread.sleep(LOOK_MS);
    }
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
  }

  /**
   * Waits until endpoints have several owners and none moves any more: the first daemon to start
   * takes them all, and hands some over once the others have been steady for a while.
   */
  void awaitBalanced(String dataCentre, long limitMs) throws Exception {
    Map<String, Long> since = new HashMap<>();
    await(
        "balance",
        limitMs,
        () -> {
          JsonObject owners =
              cluster.objects().value("ownership", dataCentre).getAsJsonObject("owners");
          Set<JsonElement> distinct = new HashSet<>(owners.asMap().values());
          since.keySet().retainAll(Set.of(owners.toString()));
          long first = since.computeIfAbsent(owners.toString(), seen -> System.nanoTime());
          long steadyMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - first);
          return distinct.size() > 1 && steadyMs > STEADY_MS;
        });
  }

  Optional<JsonObject> status(DaemonNode daemon) throws InterruptedException {
    try {
      HttpCall call = HttpCall.to(daemon.operators(), "GET", "/status");
      return Optional.of(cluster.http().read(call, JsonObject.class));
    } catch (IOException notThere) {
      return Optional.empty();
    }
  }

  String statusField(DaemonNode daemon, String field) throws InterruptedException {
    return status(daemon).map(found -> found.get(field).getAsString()).orElse("");
  }

  int owned(DaemonNode daemon) throws InterruptedException {
    return status(daemon).map(found -> found.get("owned").getAsInt()).orElse(0);
  }

  boolean ready(DaemonNode daemon) throws InterruptedException {
    try {
      return cluster.http().send(HttpCall.to(daemon.operators(), "GET", "/ready")).ok();
    } catch (IOException notThere) {
      return false;
    }
  }

  /** Returns the owner that the platform's table names for an endpoint, or nothing. */
  String owner(String endpoint, String dataCentre) throws IOException, InterruptedException {
    JsonObject owners = cluster.objects().value("ownership", dataCentre).getAsJsonObject("owners");
    return owners.has(endpoint) ? owners.get(endpoint).getAsString() : "";
  }

  /** Returns a counter of an endpoint's judge. */
  long judged(String endpoint, String counter) throws IOException, InterruptedException {
    HttpCall call = HttpCall.to(cluster.endpoint(endpoint).address(), "GET", "/judge");
    return cluster.http().read(call, JsonObject.class).get(counter).getAsLong();
  }
}
