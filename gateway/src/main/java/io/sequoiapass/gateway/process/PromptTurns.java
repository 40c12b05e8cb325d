package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.daemon.connection.FrameChannel;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.connection.RoomMessage;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.ToDoubleFunction;

/**
 * Gives the daemons of a coordinator turns to have long prompts read.
 *
 * <p>Turns belong to a link: a daemon may be linked anew before the loss of its old link is
 * noticed.
 */
final class PromptTurns implements CoordinatorModule {

  /**
   * How long an adapter is kept for a request that waits for its turn, in milliseconds; longer than
   * the time between two rounds of updates.
   */
  private static final long KEEP_MS = 700;

  /** Age from which the numbers of waiting requests are outdated, in milliseconds. */
  private static final long MAX_AGE_MS = 2_000;

  private final PlacementPlan plan;
  private final LoadQueue loadQueue;
  private final BiConsumer<LinkedDaemon, RoomMessage.PromptTurn> sender;
  private final DecisionLog log;
  private final GatewayMetrics metrics;
  private final UnscheduledPrompts<LinkedDaemon> unscheduled = new UnscheduledPrompts<>();
  private final PromptSchedule<Key> schedule;
  private volatile Waiting waiting = new Waiting(0, Map.of());

  private record Key(LinkedDaemon daemon, long id) {}

  private record Waiting(long at, Map<String, Double> byPriority) {

    private Map<String, Double> current(long now) {
      return now - at > MAX_AGE_MS ? Map.of() : byPriority;
    }
  }

  /**
   * Creates a module without requests.
   *
   * @param plan the plan
   * @param loadQueue the loads that wait for a slot
   * @param tokensPerMs returns the reading speed of an engine, in tokens per millisecond
   * @param sender sends a turn to a daemon
   * @param clock the monotonic clock
   * @param log the log
   * @param metrics the counters
   */
  PromptTurns(
      PlacementPlan plan,
      LoadQueue loadQueue,
      ToDoubleFunction<EndpointId> tokensPerMs,
      BiConsumer<LinkedDaemon, RoomMessage.PromptTurn> sender,
      MillisClock clock,
      DecisionLog log,
      GatewayMetrics metrics) {
    this.plan = plan;
    this.loadQueue = loadQueue;
    this.sender = sender;
    this.log = log;
    this.metrics = metrics;
    this.schedule = new PromptSchedule<>(tokensPerMs, unscheduled, listener());
    metrics.gauges("sequoiapass_prompts_waiting", () -> waiting.current(clock.millis()));
  }

  private PromptSchedule.Listener listener() {
    return new PromptSchedule.Listener() {
      @Override
      public void expired(EndpointId endpoint, int count, long tokens) {
        for (int i = 0; i < count; i++) {
          metrics.count("sequoiapass_prompt_turns_expired_total");
        }
        log.event("prompt_turns_expired")
            .with("endpoint", endpoint)
            .with("turns", count)
            .with("unread_tokens", tokens)
            .write();
      }

      @Override
      public void batchRead(long readMs) {
        metrics.time("sequoiapass_prompt_batch_ms", readMs);
      }
    };
  }

  @Override
  public void activated(long now) {
    schedule.clear();
    unscheduled.clear();
  }

  @Override
  public void receive(LinkedDaemon from, LinkMessage message, long now) {
    // Records of a link without an introduction would outlast it.
    if (from.daemon == null) {
      return;
    }
    if (message instanceof RoomMessage.PromptRequest asked && !asked.options().isEmpty()) {
      PromptSchedule.Request request =
          new PromptSchedule.Request(
              asked.adapter(), asked.flow(), asked.gapMs(), asked.inTimeMs(), asked.options());
      keep(request, now);
      schedule.ask(new Key(from, asked.id()), request, now).ifPresent(this::send);
    } else if (message instanceof RoomMessage.PromptSent sent) {
      schedule.sent(new Key(from, sent.id()), sent.engine(), now);
    } else if (message instanceof RoomMessage.PromptRead read) {
      schedule.read(new Key(from, read.id()), now).forEach(this::send);
    } else if (message instanceof LinkMessage.UsageReport report) {
      reported(from, report.usages(), now);
    }
  }

  /** The reported tokens include those of the daemon's own turns. */
  private void reported(LinkedDaemon from, List<EndpointUsage> usages, long now) {
    Map<EndpointId, Long> tokens = new HashMap<>();
    for (EndpointUsage usage : usages) {
      long scheduled = schedule.unreadTokens(usage.endpoint(), key -> key.daemon() == from);
      tokens.put(usage.endpoint(), usage.load().prefillTokens() - scheduled);
    }
    unscheduled.replace(from, tokens, now);
    schedule.giveWaiting(now).forEach(this::send);
  }

  @Override
  public void unlinked(LinkedDaemon daemon, long now) {
    unscheduled.remove(daemon);
    schedule.removeIf(key -> key.daemon() == daemon, now).forEach(this::send);
  }

  @Override
  public void queue(Map<FrameChannel, LinkedDaemon> links, long now) {
    schedule.expire(now).forEach(this::send);
    List<PromptSchedule.Request> requests = schedule.waiting();
    Map<String, Double> byPriority = new TreeMap<>();
    for (PromptSchedule.Request request : requests) {
      keep(request, now);
      byPriority.merge("{priority=\"" + request.flow().priority() + "\"}", 1.0, Double::sum);
    }
    waiting = new Waiting(now, byPriority);
    loadCopies(requests, now);
  }

  /** Loads that wait for a slot go first: their requests have no engine at all. */
  private void loadCopies(List<PromptSchedule.Request> requests, long now) {
    if (loadQueue.isEmpty()) {
      PromptCopies.needed(requests).forEach(need -> plan.request(need, true, now));
    }
  }

  /** Otherwise the adapter is evicted as unused while its request waits. */
  private void keep(PromptSchedule.Request request, long now) {
    request
        .adapter()
        .ifPresent(
            adapter ->
                request
                    .options()
                    .forEach(option -> plan.keep(option.endpoint(), adapter, now + KEEP_MS)));
  }

  private void send(PromptSchedule.Turn<Key> turn) {
    metrics.count("sequoiapass_prompt_turns_given_total");
    sender.accept(
        turn.key().daemon(),
        new RoomMessage.PromptTurn(turn.key().id(), turn.endpoint(), turn.delayMs()));
  }
}
