package io.sequoiapass.daemon.process.owner;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.daemon.connection.HttpClient;
import io.sequoiapass.daemon.connection.HttpFailure;
import io.sequoiapass.daemon.connection.peer.ForwardedWork.ServiceCall;
import io.sequoiapass.daemon.connection.peer.PeerChannel;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import io.sequoiapass.daemon.connection.peer.PeerMessage.AttemptId;
import io.sequoiapass.daemon.request.AttemptKeys;
import io.sequoiapass.daemon.request.Execution;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Runs calls to the plain services that this daemon owns, each endpoint up to its bound.
 *
 * <p>Safe for use by several threads: one lock guards the counts and the calls under way.
 */
public final class ServicePool {

  private static final int SERVICE_UNAVAILABLE = 503;

  private final ReentrantLock lock = new ReentrantLock();
  private final MillisClock clock;
  private final HttpClient http;
  private final Map<EndpointId, Pool> pools = new HashMap<>();
  private final Map<RequestId, Execution> executions = new HashMap<>();

  /**
   * Makes a pool without endpoints.
   *
   * @param clock the clock of deadlines
   * @param http what carries the calls
   */
  public ServicePool(MillisClock clock, HttpClient http) {
    this.clock = Objects.requireNonNull(clock, "clock");
    this.http = Objects.requireNonNull(http, "http");
  }

  /**
   * Takes over an endpoint.
   *
   * @param endpoint the endpoint
   * @param address where it listens
   * @param maxCalls calls that it runs at once
   */
  public void own(EndpointId endpoint, InetSocketAddress address, int maxCalls) {
    locked(
        () -> {
          Pool known = pools.get(endpoint);
          int running = known == null ? 0 : known.running;
          pools.put(endpoint, new Pool(address, maxCalls, running));
        });
  }

  /**
   * Starts nothing new on an endpoint that leaves; calls under way go on.
   *
   * @param endpoint the endpoint
   * @param leaving whether it leaves
   */
  public void drain(EndpointId endpoint, boolean leaving) {
    locked(
        () -> Optional.ofNullable(pools.get(endpoint)).ifPresent(pool -> pool.leaving = leaving));
  }

  /**
   * Stops using an endpoint; calls under way go on.
   *
   * @param endpoint the endpoint
   */
  public void disown(EndpointId endpoint) {
    locked(() -> pools.remove(endpoint));
  }

  /**
   * Takes an attempt from an entry.
   *
   * @param forward the attempt
   * @param replies where its frames go
   */
  public void submit(PeerMessage.Forward forward, PeerChannel replies) {
    locked(
        () -> {
          Execution execution = new Execution(forward, replies, clock.millis());
          Pool pool = pools.get(forward.endpoint());
          if (pool == null || pool.leaving) {
            // The entry's table and this one differ, as they do for moments around each handover.
            execution.refuse(ErrorKind.DRAINING, false, 0);
          } else if (pool.running >= pool.maxCalls) {
            execution.refuse(ErrorKind.QUEUE_FULL, false, 0);
          } else if (executions.putIfAbsent(AttemptKeys.of(forward.id()), execution) == null) {
            pool.running++;
            begin(execution, pool);
          }
        });
  }

  private void begin(Execution execution, Pool pool) {
    if (execution.forward().atMostOnce()) {
      execution.asking();
      execution.replies().send(new PeerMessage.MayStart(execution.id()));
    } else {
      write(execution, pool);
    }
  }

  /**
   * Takes the entry's answer to a question for its grant.
   *
   * @param answer the answer
   */
  public void startAnswered(PeerMessage.StartAnswer answer) {
    locked(
        () -> {
          Execution execution = executions.get(AttemptKeys.of(answer.id()));
          if (execution == null || execution.stage() != Execution.Stage.ASKING) {
            return;
          }
          Pool pool = pools.get(execution.forward().endpoint());
          if (!answer.granted()) {
            over(execution);
          } else if (pool == null || pool.leaving) {
            over(execution);
            execution.refuse(ErrorKind.DRAINING, false, 0);
          } else {
            write(execution, pool);
          }
        });
  }

  /**
   * Drops an attempt that nobody waits for any more, unless it is being written or runs: a plain
   * service cannot be stopped.
   *
   * @param id the attempt
   */
  public void cancel(AttemptId id) {
    locked(
        () ->
            Optional.ofNullable(executions.get(AttemptKeys.of(id)))
                .filter(execution -> execution.stage() == Execution.Stage.ASKING)
                .ifPresent(this::over));
  }

  /**
   * Drops what waits for the grant of an entry whose connection is gone.
   *
   * @param replies the connection
   */
  public void entryLost(PeerChannel replies) {
    locked(
        () ->
            List.copyOf(executions.values()).stream()
                .filter(execution -> execution.replies() == replies)
                .filter(execution -> execution.stage() == Execution.Stage.ASKING)
                .forEach(this::over));
  }

  private void write(Execution execution, Pool pool) {
    long now = clock.millis();
    execution.running(now);
    ServiceCall work = (ServiceCall) execution.forward().work();
    HttpCall call =
        HttpCall.to(pool.address, work.method(), work.path())
            .header("Request-Id", execution.id().request().value())
            .header("Content-Type", work.contentType())
            .body(work.body());
    if (!work.idempotencyKey().isEmpty()) {
      call = call.header("Idempotency-Key", work.idempotencyKey());
    }
    http.send(call, execution.remainingMs(now))
        .whenComplete((answer, failure) -> locked(() -> ended(execution, answer, failure)));
  }

  private void ended(Execution execution, HttpAnswer answer, Throwable failure) {
    over(execution);
    if (failure == null && answer.status() == SERVICE_UNAVAILABLE) {
      execution.refuse(ErrorKind.OVERLOADED, true, 0);
    } else if (failure == null) {
      String contentType = answer.headers().get("Content-Type", "application/octet-stream");
      execution
          .replies()
          .send(
              new PeerMessage.ServiceAnswer(
                  execution.id(), answer.status(), contentType, answer.body()));
    } else if (neverReached(failure)) {
      execution.refuse(ErrorKind.ENDPOINT_LOST_BEFORE_START, false, 0);
    } else {
      execution.lost();
    }
  }

  private static boolean neverReached(Throwable failure) {
    return failure instanceof HttpFailure http && !http.mayHaveReached();
  }

  private void over(Execution execution) {
    if (!execution.end()) {
      return;
    }
    executions.remove(AttemptKeys.of(execution.id()), execution);
    Pool pool = pools.get(execution.forward().endpoint());
    if (pool != null) {
      pool.running = Math.max(0, pool.running - 1);
    }
  }

  /** Returns the number of calls under way. */
  public int size() {
    lock.lock();
    try {
      return executions.size();
    } finally {
      lock.unlock();
    }
  }

  private void locked(Runnable action) {
    lock.lock();
    try {
      action.run();
    } finally {
      lock.unlock();
    }
  }

  /** Is one endpoint. */
  private static final class Pool {
    private final InetSocketAddress address;
    private final int maxCalls;
    private int running;
    private boolean leaving;

    Pool(InetSocketAddress address, int maxCalls, int running) {
      this.address = address;
      this.maxCalls = maxCalls;
      this.running = running;
    }
  }
}
