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

/** Queries the state of a cluster's daemons and platform, and waits for conditions with a limit. */
final class OwnershipProbe {

  private static final long POLL_INTERVAL_MS = 20;

  /** Several rounds of the ownership balancer. */
  private static final long STABLE_MS = 3_000;

  private final Cluster cluster;

  OwnershipProbe(Cluster cluster) {
    this.cluster = cluster;
  }

  /**
   * Waits until a condition holds and returns the time taken in milliseconds.
   *
   * @throws AssertionError if the condition does not hold within the limit
   */
  long await(String what, long limitMs, Callable<Boolean> condition) throws Exception {
    long start = System.nanoTime();
    long polls = 0;
    while (!condition.call()) {
      polls++;
      long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
      if (elapsedMs > limitMs || polls > limitMs) {
        throw new AssertionError(what + ": not within " + limitMs + " ms");
      }
      Thread.sleep(POLL_INTERVAL_MS);
    }
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
  }

  /**
   * Waits until endpoints have several owners and ownership is stable: the first daemon to start
   * takes all endpoints, and hands some over once the others have been steady for a while.
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
          long stableMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - first);
          return distinct.size() > 1 && stableMs > STABLE_MS;
        });
  }

  Optional<JsonObject> status(DaemonNode daemon) throws InterruptedException {
    try {
      HttpCall call = HttpCall.to(daemon.operatorAddress(), "GET", "/status");
      return Optional.of(cluster.http().read(call, JsonObject.class));
    } catch (IOException unreachable) {
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
      return cluster.http().send(HttpCall.to(daemon.operatorAddress(), "GET", "/ready")).ok();
    } catch (IOException unreachable) {
      return false;
    }
  }

  /** Returns the owner of an endpoint in the platform's ownership table, or an empty string. */
  String owner(String endpoint, String dataCentre) throws IOException, InterruptedException {
    JsonObject owners = cluster.objects().value("ownership", dataCentre).getAsJsonObject("owners");
    return owners.has(endpoint) ? owners.get(endpoint).getAsString() : "";
  }

  /** Returns a counter of an endpoint's audit report. */
  long auditCounter(String endpoint, String counter) throws IOException, InterruptedException {
    HttpCall call = HttpCall.to(cluster.endpoint(endpoint).address(), "GET", "/judge");
    return cluster.http().read(call, JsonObject.class).get(counter).getAsLong();
  }
}
