package io.sequoiapass.testbed.load;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.daemon.connection.HttpClient;
import io.sequoiapass.testbed.launch.ClusterNames;
import io.sequoiapass.testbed.wire.Json;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntFunction;

/**
 * Sends a load to entry daemons, each request at its scheduled time, and checks every answer.
 *
 * <pre>{@code
 * try (LoadTool tool = LoadTool.to(List.of(daemon.callerAddress()))) {
 *   tool.start(plan.requests());
 *   LoadReport report = tool.await(60_000);
 * }
 * }</pre>
 *
 * <p>Requests are distributed over the daemons round-robin, like by a load balancer. Safe for use
 * by several threads; an instance runs one load.
 */
public final class LoadTool implements AutoCloseable {

  private static final int THREADS = 4;
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int DEADLINE_MS = 20_000;

  /** Time allowed beyond the deadline, by which the daemon must have answered. */
  private static final int GRACE_MS = 5_000;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
  private final HttpClient client = HttpClient.create(group, CONNECT_TIMEOUT_MS);
  private final IntFunction<InetSocketAddress> balancer;
  private final Queue<RequestResult> results = new ConcurrentLinkedQueue<>();
  private final AtomicLong sent = new AtomicLong();
  private CountDownLatch pending = new CountDownLatch(0);
  private long startedAtMicros;
  private volatile int deadlineMs = DEADLINE_MS;
  private volatile String service = ClusterNames.NOTES;

  private LoadTool(IntFunction<InetSocketAddress> balancer) {
    this.balancer = balancer;
  }

  /**
   * Returns a tool.
   *
   * @param daemons caller addresses of the daemons
   */
  public static LoadTool to(List<InetSocketAddress> daemons) {
    if (daemons.isEmpty()) {
      throw new IllegalArgumentException("at least one daemon address is required");
    }
    List<InetSocketAddress> copy = List.copyOf(daemons);
    return new LoadTool(number -> copy.get(number % copy.size()));
  }

  /**
   * Returns a tool that has a balancer select the target of each request just before sending it.
   *
   * @param balancer maps the number of a request to a daemon's caller address; called on event
   *     loops
   */
  public static LoadTool through(IntFunction<InetSocketAddress> balancer) {
    return new LoadTool(balancer);
  }

  /**
   * Sets the deadline of all requests.
   *
   * @param millis time from the send of a request, in milliseconds
   */
  public LoadTool deadlineMs(int millis) {
    deadlineMs = millis;
    return this;
  }

  /**
   * Sets the service that completions are requested for.
   *
   * @param name the service
   */
  public LoadTool service(String name) {
    service = name;
    return this;
  }

  /**
   * Schedules the requests and returns without waiting for answers.
   *
   * @param requests the requests, ordered by send time
   */
  public synchronized void start(List<PlannedRequest> requests) {
    pending = new CountDownLatch(requests.size());
    startedAtMicros = micros();
    for (int i = 0; i < requests.size(); i++) {
      PlannedRequest request = requests.get(i);
      int number = i;
      EventLoop loop = group.next();
      loop.schedule(
          () -> send(request, balancer.apply(number)), request.atMicros(), TimeUnit.MICROSECONDS);
    }
  }

  private static long micros() {
    return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
  }

  private void send(PlannedRequest request, InetSocketAddress daemon) {
    sent.incrementAndGet();
    String version = request.version().orElse(ClusterNames.CURRENT_VERSION);
    AnswerCheck check =
        new AnswerCheck(
            request,
            version,
            LoadTool::micros,
            deadlineMs + GRACE_MS,
            result -> {
              results.add(result);
              pending.countDown();
            });
    client.stream(call(request, daemon), deadlineMs + GRACE_MS, check);
  }

  private HttpCall call(PlannedRequest request, InetSocketAddress daemon) {
    boolean plain = request.adapter().isEmpty();
    String path = plain ? "/services/" + ClusterNames.SLIPS + "/pay" : "/v1/completions";
    HttpCall call =
        HttpCall.to(daemon, "POST", path)
            .header("Request-Id", request.id())
            .header("Priority", request.priority())
            .header("Deadline-Ms", Integer.toString(deadlineMs));
    if (!request.repeatable()) {
      call = call.header("Repeatable", "false");
    }
    if (request.keyed()) {
      call = call.header("Idempotency-Key", request.id());
    }
    if (plain) {
      return call.body("{}");
    }
    CallerMessages.Completion body =
        new CallerMessages.Completion(
            request.model(), "summarise " + request.id(), request.maxTokens(), true);
    return call.header("Service", service).body(Json.GSON.toJson(body));
  }

  /** Returns the number of requests sent so far. */
  public long sent() {
    return sent.get();
  }

  /** Returns the results received so far. */
  public synchronized LoadReport report() {
    return new LoadReport(List.copyOf(results), micros() - startedAtMicros);
  }

  /**
   * Waits until every request has ended and returns the results.
   *
   * @param limitMs maximum wait, in milliseconds
   * @throws InterruptedException if the wait is interrupted
   */
  public LoadReport await(long limitMs) throws InterruptedException {
    CountDownLatch waitFor;
    synchronized (this) {
      waitFor = pending;
    }
    // Bounded wait: requests that have not ended by then are reported as missing.
    boolean all = waitFor.await(limitMs, TimeUnit.MILLISECONDS);
    return all ? report() : report().withMissing(waitFor.getCount());
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
