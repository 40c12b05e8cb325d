package io.sequoiapass.daemon.process.owner;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.request.AdmissionQueue;
import io.sequoiapass.coordination.request.AdmissionSettings;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.request.Outcome;
import io.sequoiapass.coordination.version.Preset;
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
 * Runs calls to the plain services that this daemon owns, within the concurrency limit of each
 * endpoint.
 *
 * <p>Safe for use by several threads: one lock guards the counts and the calls in progress.
 */
public final class ServicePool {

  /** Largest answer that is passed on, in bytes. */
  private static final int MAX_ANSWER_BYTES = 8 << 20;

  private static final int SERVICE_UNAVAILABLE = 503;

  private final ReentrantLock lock = new ReentrantLock();
  private final MillisClock clock;
  private final HttpClient http;
  private final OwnerObserver observer;
  private final Optional<AdmissionSettings> limits;
  private final Map<EndpointId, ServiceEndpoint> endpoints = new HashMap<>();
  private final Map<RequestId, Execution> executions = new HashMap<>();

  /**
   * Creates a pool without endpoints.
   *
   * @param clock the clock of deadlines
   * @param http sends the calls
   * @param observer receives refusals
   * @param limits bounds the queues in ordinary operation; empty to refuse calls for which there is
   *     no capacity
   */
  public ServicePool(
      MillisClock clock,
      HttpClient http,
      OwnerObserver observer,
      Optional<AdmissionSettings> limits) {
    this.clock = Objects.requireNonNull(clock, "clock");
    this.http = Objects.requireNonNull(http, "http");
    this.observer = Objects.requireNonNull(observer, "observer");
    this.limits = Objects.requireNonNull(limits, "limits");
  }

  /**
   * Takes over an endpoint.
   *
   * @param endpoint the endpoint
   * @param service the service that it runs
   * @param address where it listens
   * @param maxCalls calls that it can run at the same time
   */
  public void own(EndpointId endpoint, ServiceId service, InetSocketAddress address, int maxCalls) {
    locked(
        () ->
            endpoints
                .computeIfAbsent(
                    endpoint,
                    fresh ->
                        new ServiceEndpoint(
                            service,
                            address,
                            maxCalls,
                            limits.orElse(AdmissionSettings.DEFAULT),
                            clock.millis()))
                .configure(address, maxCalls));
  }

  /**
   * Starts nothing new on an endpoint that is leaving; calls in progress continue, queued ones are
   * returned to their entry.
   *
   * @param endpoint the endpoint
   * @param leaving whether it is leaving
   */
  public void drain(EndpointId endpoint, boolean leaving) {
    locked(
        () -> {
          ServiceEndpoint known = endpoints.get(endpoint);
          if (known != null) {
            known.setLeaving(leaving);
          }
          if (leaving) {
            refuseQueued(endpoint);
          }
        });
  }

  private void refuseQueued(EndpointId endpoint) {
    executions.values().stream()
        .filter(execution -> execution.stage() == Execution.Stage.QUEUED)
        .filter(execution -> execution.forward().endpoint().equals(endpoint))
        .toList()
        .forEach(execution -> refuse(execution, ErrorKind.DRAINING, 0));
  }

  /**
   * Stops using an endpoint; calls in progress continue, queued ones are returned to their entry.
   *
   * @param endpoint the endpoint
   */
  public void disown(EndpointId endpoint) {
    locked(
        () -> {
          if (endpoints.remove(endpoint) != null) {
            refuseQueued(endpoint);
          }
        });
  }

  /**
   * Applies the limits of a preset.
   *
   * @param preset the preset in force
   */
  public void apply(Preset preset) {
    locked(() -> endpoints.values().forEach(endpoint -> endpoint.apply(preset)));
  }

  /** Advances the time; to be called every 10 to 50 ms. */
  public void tick() {
    locked(
        () -> {
          for (ServiceEndpoint endpoint : endpoints.values()) {
            endpoint.expire(clock.millis()).forEach(this::refuse);
            startWaiting(endpoint);
          }
        });
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
          ServiceEndpoint endpoint = endpoints.get(forward.endpoint());
          if (endpoint == null || endpoint.isLeaving()) {
            // The ownership tables of the entry and this daemon differ briefly around each
            // handover.
            execution.sendRefused(ErrorKind.DRAINING, false, 0);
          } else if (executions.putIfAbsent(AttemptKeys.of(forward.id()), execution) == null) {
            startOrEnqueue(execution, endpoint);
          }
        });
  }

  private void startOrEnqueue(Execution execution, ServiceEndpoint endpoint) {
    if (limits.isPresent()) {
      endpoint.offer(execution, clock.millis()).ifPresent(this::refuse);
      startWaiting(endpoint);
    } else if (endpoint.hasCapacity()) {
      begin(execution, endpoint);
    } else {
      refuse(execution, ErrorKind.QUEUE_FULL, 0);
    }
  }

  /** Starts waiting attempts while the endpoint has capacity. */
  private void startWaiting(ServiceEndpoint endpoint) {
    while (endpoint.canStart()) {
      AdmissionQueue.PollResult turn = endpoint.next(clock.millis());
      turn.refused().forEach(this::refuse);
      turn.next()
          .map(ticket -> executions.get(ticket.request()))
          .ifPresent(execution -> begin(execution, endpoint));
    }
  }

  private void refuse(AdmissionQueue.Refusal refusal) {
    Execution execution = executions.get(refusal.ticket().request());
    Outcome.NotRun outcome = refusal.outcome();
    observer.overloaded(execution.id(), outcome.kind(), execution.ageMs(clock.millis()));
    refuse(execution, outcome.kind(), outcome.comeBackMillis().orElse(0));
  }

  private void refuse(Execution execution, ErrorKind kind, long retryAfterMs) {
    remove(execution);
    execution.sendRefused(kind, false, retryAfterMs);
  }

  private void begin(Execution execution, ServiceEndpoint endpoint) {
    endpoint.callStarted();
    if (execution.forward().atMostOnce()) {
      execution.markAwaitingGrant();
      execution.replies().send(new PeerMessage.MayStart(execution.id()));
    } else {
      write(execution, endpoint);
    }
  }

  /**
   * Handles the entry's answer to a request for a start grant.
   *
   * @param answer the answer
   */
  public void startDecided(PeerMessage.StartAnswer answer) {
    locked(
        () -> {
          Execution execution = executions.get(AttemptKeys.of(answer.id()));
          if (execution == null || execution.stage() != Execution.Stage.AWAITING_GRANT) {
            return;
          }
          ServiceEndpoint endpoint = endpoints.get(execution.forward().endpoint());
          if (!answer.granted()) {
            remove(execution);
          } else if (endpoint == null || endpoint.isLeaving()) {
            refuse(execution, ErrorKind.DRAINING, 0);
          } else {
            write(execution, endpoint);
          }
        });
  }

  /**
   * Drops an attempt whose caller has left, unless it is being sent or runs, since a call to a
   * plain service cannot be cancelled.
   *
   * @param id the attempt
   */
  public void cancel(AttemptId id) {
    locked(
        () ->
            Optional.ofNullable(executions.get(AttemptKeys.of(id)))
                .filter(ServicePool::isUnwritten)
                .ifPresent(this::remove));
  }

  /**
   * Drops the attempts of an entry whose connection has failed, except those already sent to their
   * endpoint.
   *
   * @param replies the connection
   */
  public void entryDisconnected(PeerChannel replies) {
    locked(
        () ->
            List.copyOf(executions.values()).stream()
                .filter(execution -> execution.replies() == replies)
                .filter(ServicePool::isUnwritten)
                .forEach(this::remove));
  }

  private static boolean isUnwritten(Execution execution) {
    return execution.stage() == Execution.Stage.QUEUED
        || execution.stage() == Execution.Stage.AWAITING_GRANT;
  }

  private void write(Execution execution, ServiceEndpoint endpoint) {
    long now = clock.millis();
    execution.markRunning(now);
    ServiceCall work = (ServiceCall) execution.forward().work();
    HttpCall call =
        HttpCall.to(endpoint.address(), work.method(), work.path())
            .header("Request-Id", execution.id().request().value())
            .header("Content-Type", work.contentType())
            .body(work.body());
    if (!work.idempotencyKey().isEmpty()) {
      call = call.header("Idempotency-Key", work.idempotencyKey());
    }
    http.send(call.maxBodyBytes(MAX_ANSWER_BYTES), execution.remainingMs(now))
        .whenComplete((answer, failure) -> locked(() -> callEnded(execution, answer, failure)));
  }

  private void callEnded(Execution execution, HttpAnswer answer, Throwable failure) {
    boolean refused = failure == null && answer.status() == SERVICE_UNAVAILABLE;
    updateLimit(execution, refused, failure);
    remove(execution);
    if (refused) {
      execution.sendRefused(ErrorKind.OVERLOADED, true, 0);
    } else if (failure == null) {
      String contentType = answer.headers().get("Content-Type", "application/octet-stream");
      execution
          .replies()
          .send(
              new PeerMessage.ServiceAnswer(
                  execution.id(), answer.status(), contentType, answer.body()));
    } else if (wasNotSent(failure)) {
      execution.sendRefused(ErrorKind.ENDPOINT_LOST_BEFORE_START, false, 0);
    } else {
      execution.sendEndpointLost();
    }
  }

  private void updateLimit(Execution execution, boolean refused, Throwable failure) {
    ServiceEndpoint endpoint = endpoints.get(execution.forward().endpoint());
    if (endpoint != null && refused) {
      endpoint.callRefused(clock.millis());
    } else if (endpoint != null && failure == null) {
      endpoint.callAnswered(execution.ranMs(clock.millis()));
    }
  }

  private static boolean wasNotSent(Throwable failure) {
    return failure instanceof HttpFailure http && !http.mayHaveReached();
  }

  private void remove(Execution execution) {
    boolean heldCapacity = execution.stage() != Execution.Stage.QUEUED;
    if (!execution.end()) {
      return;
    }
    RequestId id = AttemptKeys.of(execution.id());
    executions.remove(id, execution);
    ServiceEndpoint endpoint = endpoints.get(execution.forward().endpoint());
    if (endpoint == null) {
      return;
    }
    endpoint.withdraw(id);
    if (heldCapacity) {
      endpoint.callEnded();
      startWaiting(endpoint);
    }
  }

  /** Returns the number of calls that wait for admission. */
  public int waiting() {
    lock.lock();
    try {
      return endpoints.values().stream().mapToInt(ServiceEndpoint::size).sum();
    } finally {
      lock.unlock();
    }
  }

  /** Returns the number of calls in progress. */
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
}
