package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpTransport;
import io.sequoiapass.daemon.connection.ReusePolicy;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.spi.AnswerClass;
import io.sequoiapass.gateway.spi.EndpointProtocol;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Finds out whether an endpoint's process has ended when answers from it break: a broken connection
 * alone does not show it.
 *
 * <p>Safe for use by several threads.
 */
public final class CrashWatch {

  /** How long broken answers are collected before the endpoint is asked, in milliseconds. */
  private static final long COLLECT_MS = 10;

  /** Maximum time until the answer, in milliseconds; a silent endpoint may be cut off. */
  private static final long PROBE_MS = 300;

  /** Time between two probes of a process that lives, in milliseconds. */
  private static final long PROBE_INTERVAL_MS = 500;

  /** Largest number of processes that are known to live; the oldest are dropped. */
  private static final int MAX_ALIVE = 1_024;

  private final PromptPartGuard guard;
  private final EndpointProtocol protocol;
  private final HttpTransport http;
  private final ScheduledExecutorService loop;
  private final MillisClock clock;
  private final Map<EndpointId, List<LinkMessage.CrashSuspect>> collected = new HashMap<>();
  private final Map<EndpointId, Long> aliveAt =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<EndpointId, Long> eldest) {
          return size() > MAX_ALIVE;
        }
      };

  /**
   * Creates a watch.
   *
   * @param guard records crashes
   * @param protocol how an endpoint is asked for a report
   * @param http opens connections to endpoints
   * @param loop runs timers
   * @param clock the monotonic clock
   */
  CrashWatch(
      PromptPartGuard guard,
      EndpointProtocol protocol,
      HttpTransport http,
      ScheduledExecutorService loop,
      MillisClock clock) {
    this.guard = guard;
    this.protocol = protocol;
    this.http = http;
    this.loop = loop;
    this.clock = clock;
  }

  /** Returns the guard of parts that crash endpoints. */
  public PromptPartGuard guard() {
    return guard;
  }

  /**
   * Records that an answer broke, or did not come.
   *
   * @param endpoint the endpoint's process
   * @param address where it listens
   * @param suspect the request
   */
  public void broken(
      EndpointId endpoint, InetSocketAddress address, LinkMessage.CrashSuspect suspect) {
    OptionalLong probeInMs = collect(endpoint, suspect);
    if (probeInMs.isPresent()) {
      loop.schedule(() -> probe(endpoint, address), probeInMs.getAsLong(), TimeUnit.MILLISECONDS);
    }
  }

  /** Returns when to probe the endpoint; empty if a probe is due or under way. */
  private synchronized OptionalLong collect(EndpointId endpoint, LinkMessage.CrashSuspect suspect) {
    List<LinkMessage.CrashSuspect> suspects =
        collected.computeIfAbsent(endpoint, any -> new ArrayList<>());
    suspects.add(suspect);
    if (suspects.size() > 1) {
      return OptionalLong.empty();
    }
    Long alive = aliveAt.get(endpoint);
    long againInMs = alive == null ? 0 : alive + PROBE_INTERVAL_MS - clock.millis();
    return OptionalLong.of(Math.max(COLLECT_MS, againInMs));
  }

  private void probe(EndpointId endpoint, InetSocketAddress address) {
    long sentAt = clock.millis();
    http.send(
            protocol
                .reportCall(endpoint, address)
                .reuse(ReusePolicy.NONE)
                .maxBodyBytes(EndpointCalls.MAX_ANSWER_BYTES),
            PROBE_MS)
        .whenComplete((answer, failure) -> probed(endpoint, answer, clock.millis() - sentAt));
  }

  private void probed(EndpointId endpoint, HttpAnswer answer, long tookMs) {
    boolean hasEnded = hasEnded(answer, tookMs);
    List<LinkMessage.CrashSuspect> suspects;
    synchronized (this) {
      suspects = collected.remove(endpoint);
      if (!hasEnded) {
        aliveAt.put(endpoint, clock.millis());
      }
    }
    if (suspects != null && hasEnded) {
      guard.crashed(endpoint, suspects);
    }
  }

  /** A process has ended if its address refuses connections or belongs to another one. */
  private boolean hasEnded(HttpAnswer answer, long tookMs) {
    return answer == null
        ? tookMs < PROBE_MS
        : protocol.classify(answer.status(), answer.headers()) == AnswerClass.NOT_RUN_ELSEWHERE;
  }
}
