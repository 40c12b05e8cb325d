package io.sequoiapass.testbed.failure;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.sequoiapass.testbed.HttpProbe;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.ClusterNames;
import io.sequoiapass.testbed.launch.DaemonNode;
import io.sequoiapass.testbed.launch.EndpointNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Sends slips with the same few keys repeatedly through all daemons at once, and compares the
 * reported outcomes with the runs at the services. A new key is used every {@value #NEW_KEY_MS} ms,
 * so that keys of every primary are first used at every stage of a fault.
 */
final class KeyedLoad implements AutoCloseable {

  private static final int THREADS = 6;
  private static final int NEW_KEY_MS = 100;
  private static final int KEYS_IN_USE = 12;
  private static final char ATTEMPT_SEPARATOR = '~';

  /** The outcome of one attempt; {@code LOST} if its connection was lost. */
  record Attempt(String id, String key, String outcome, String body) {}

  private final Cluster cluster;
  private final String name;
  private final long startedAt = System.nanoTime();
  private final Queue<Attempt> attempts = new ConcurrentLinkedQueue<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean stopping;

  KeyedLoad(Cluster cluster, String name) {
    this.cluster = cluster;
    this.name = name;
    for (int i = 0; i < THREADS; i++) {
      int number = i;
      Thread thread = new Thread(() -> send(number), name + "-" + i);
      threads.add(thread);
      thread.start();
    }
  }

  private void send(int thread) {
    Random random = new Random(thread);
    List<DaemonNode> daemons = cluster.daemons();
    for (int serial = 0; !stopping; serial++) {
      long newest = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt) / NEW_KEY_MS;
      String key = name + "-" + Math.max(0, newest - random.nextInt(KEYS_IN_USE));
      String id = name + "-" + thread + "-" + serial;
      try {
        attempts.add(attempt(daemons.get(random.nextInt(daemons.size())), id, key));
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static Attempt attempt(DaemonNode daemon, String id, String key)
      throws InterruptedException {
    String path = "/services/" + ClusterNames.SLIPS + "/pay";
    try {
      HttpResponse<String> answer =
          new HttpProbe(daemon.callerAddress())
              .call(
                  "POST",
                  path,
                  "pay 120",
                  "Request-Id",
                  id,
                  "Idempotency-Key",
                  key,
                  "Deadline-Ms",
                  "2000");
      return new Attempt(id, key, KeyedCalls.outcome(answer), answer.body());
    } catch (IOException connectionLost) {
      return new Attempt(id, key, "LOST", String.valueOf(connectionLost.getMessage()));
    }
  }

  /** Stops sending and returns the violations found, one line each. */
  List<String> stopAndCheck() throws IOException, InterruptedException {
    stopping = true;
    for (Thread thread : threads) {
      thread.join();
    }
    Map<String, Integer> byKey = new TreeMap<>();
    Map<String, Integer> byRequest = new TreeMap<>();
    for (EndpointNode service : cluster.endpoints(EndpointNode.EndpointKind.SERVICE)) {
      JsonObject audit = new HttpProbe(service.address()).json("/judge");
      add(audit.getAsJsonObject("runs_by_key"), byKey);
      add(audit.getAsJsonObject("runs_by_request"), byRequest);
    }
    List<String> violations = new ArrayList<>();
    Map<String, Integer> answered = new TreeMap<>();
    for (Attempt attempt : attempts) {
      int runs = byRequest.getOrDefault(attempt.id, 0);
      if (attempt.outcome.equals("NOT_RUN") && runs > 0) {
        violations.add("reported as NOT RUN, ran " + runs + " times: " + attempt);
      }
      if (attempt.outcome.equals("ANSWERED")) {
        answered.merge(attempt.key, 1, Integer::sum);
      }
    }
    byKey.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(name + "-") && entry.getValue() > 1)
        .forEach(entry -> violations.add(entry.getKey() + " ran " + entry.getValue() + " times"));
    answered.entrySet().stream()
        .filter(entry -> !entry.getValue().equals(byKey.getOrDefault(entry.getKey(), 0)))
        .forEach(entry -> violations.add(entry + " answered, ran " + byKey.get(entry.getKey())));
    System.out.println(name + ": " + byKey.size() + " keys ran; attempts " + counts());
    return violations;
  }

  private static void add(JsonObject counts, Map<String, Integer> to) {
    for (Map.Entry<String, JsonElement> entry : counts.entrySet()) {
      int end = entry.getKey().lastIndexOf(ATTEMPT_SEPARATOR);
      String id = end < 0 ? entry.getKey() : entry.getKey().substring(0, end);
      to.merge(id, entry.getValue().getAsInt(), Integer::sum);
    }
  }

  private Map<String, Long> counts() {
    return attempts.stream()
        .collect(Collectors.groupingBy(Attempt::outcome, TreeMap::new, Collectors.counting()));
  }

  /** Returns the number of attempts answered so far. */
  long answered() {
    return counts().getOrDefault("ANSWERED", 0L);
  }

  @Override
  public void close() {
    stopping = true;
  }
}
