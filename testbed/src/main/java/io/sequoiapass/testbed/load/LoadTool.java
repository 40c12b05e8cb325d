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
 * Sends a load to entry daemons, each request at its time, and checks each answer.
 *
 * <pre>{@code
 * try (LoadTool tool = LoadTool.to(List.of(daemon.callers()))) {
 *   tool.start(plan.requests());
 *   LoadReport report = tool.await(60_000);
 * }
 * }</pre>
 *
 * <p>Requests go to the daemons in turn, as a balancer would send them. Safe for use by several
 * threads, but runs one load only.
 */
public final class LoadTool implements AutoCloseable {

  private static final int THREADS = 4;
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int DEADLINE_MS = 20_000;

  /** Waited beyond the deadline, after which the daemon owes an answer. */
  private static final int GRACE_MS = 5_000;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
  private final HttpClient client = HttpClient.create(group, CONNECT_TIMEOUT_MS);
  private final IntFunction<InetSocketAddress> balancer;
  private final Queue<RequestResult> results = new ConcurrentLinkedQueue<>();
  private final AtomicLong sent = new AtomicLong();
  private CountDownLatch missing = new CountDownLatch(0);
  private long startedAt;
  private volatile int deadlineMs = DEADLINE_MS;
  private volatile String service = ClusterNames.NOTES;

  private LoadTool(IntFunction<InetSocketAddress> balancer) {
    this.balancer = balancer;
  }

  /**
   * Returns a tool.
   *
   * @param daemons where the daemons take callers
   */
  public static LoadTool to(List<InetSocketAddress> daemons) {
    if (daemons.isEmpty()) {
      throw new IllegalArgumentException("needs a daemon to send to");
    }
    List<InetSocketAddress> copy = List.copyOf(daemons);
    return new LoadTool(number -> copy.get(number % copy.size()));
  }

  /**
   * Returns a tool that asks a balancer where to send each request, right before it is sent.
   *
   * @param balancer tells for the number of a request where daemons take it; called on event loops
   */
  public static LoadTool through(IntFunction<InetSocketAddress> balancer) {
    return new LoadTool(balancer);
  }

  /**
   * Sets the deadline of all requests.
   *
   * @param millis from when each is sent, in milliseconds
   */
  public LoadTool deadlineMs(int millis) {
    deadlineMs = millis;
    return this;
  }

  /**
   * Sets the service on whose behalf completions are asked for.
   *
   * @param name the service
   */
  public LoadTool service(String name) {
    service = name;
    return this;
  }

  /**
   * Starts to send and returns at once.
   *
   * @param requests what to send, in the order of their times
   */
  public synchronized void start(List<PlannedRequest> requests) {
    missing = new CountDownLatch(requests.size());
    startedAt = micros();
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
              missing.countDown();
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

  /** Returns how many requests were sent so far. */
  public long sent() {
    return sent.get();
  }

  /** Returns what is known so far. */
  public synchronized LoadReport report() {
    return new LoadReport(List.copyOf(results), micros() - startedAt);
  }

  /**
   * Waits until every request ended and returns how.
   *
   * @param limitMs how long to wait at most, in milliseconds
   * @throws InterruptedException if the wait is interrupted
   */
  public LoadReport await(long limitMs) throws InterruptedException {
    CountDownLatch waitFor;
    synchronized (this) {
      waitFor = missing;
    }
    // A bounded wait: what has not ended by then is missing from the report and shows there.
    boolean all = waitFor.await(limitMs, TimeUnit.MILLISECONDS);
    return all ? report() : report().incomplete(waitFor.getCount());
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
