package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.connection.RoomMessage;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Asks coordinators when and where engines may read the long prompts of this daemon's requests.
 *
 * <p>Safe for use by several threads.
 */
public final class PromptGate implements LinkModule {

  /** A prompt that takes less than this share of the target for pauses needs no turn. */
  private static final double SHORT_SHARE = 0.1;

  /**
   * Largest share of the target for pauses that the usual long prompt may take. If two do not fit,
   * engines would read one at a time with a break after each, and first events would be late
   * instead of later ones.
   */
  private static final double MAX_USUAL_SHARE = 0.5;

  /** Weight of a long prompt in the usual length. */
  private static final double WEIGHT = 0.1;

  private final GatewayMetrics metrics;
  private final AtomicLong ids = new AtomicLong();
  private final Map<Long, Asked> asked = new ConcurrentHashMap<>();
  private volatile Links links = (dataCentre, message) -> false;
  private volatile Executor executor = Runnable::run;
  private double usualTokens;

  /** Sends messages to coordinators. */
  @FunctionalInterface
  interface Links {

    /** Sends a message to a data centre's coordinator; returns false if there is none. */
    boolean send(DataCentreId dataCentre, LinkMessage message);
  }

  /** Receives the reply for one request; called by any thread. */
  public interface Listener {

    /**
     * Called when an engine may read the prompt.
     *
     * @param endpoint the engine
     * @param delayMs after which time the request may be sent, in milliseconds
     */
    void given(EndpointId endpoint, long delayMs);

    /** Called when no reply can come any more. */
    void lost();
  }

  private record Asked(DataCentreId dataCentre, Listener listener) {}

  /**
   * Creates a gate without links.
   *
   * @param metrics the counters
   */
  PromptGate(GatewayMetrics metrics) {
    this.metrics = metrics;
  }

  /**
   * Sets how messages are sent.
   *
   * @param newLinks the links to the coordinators
   * @param newExecutor runs sends that must not happen under a lock
   */
  void use(Links newLinks, Executor newExecutor) {
    links = newLinks;
    executor = newExecutor;
  }

  /**
   * Returns whether a prompt needs a turn.
   *
   * @param unreadTokens its length without cached parts, in tokens
   * @param promptTokens its whole length, in tokens
   * @param tokensPerMs the usual reading speed of an engine, in tokens per millisecond
   * @param gapMs the target for the longest pause between two events, in milliseconds
   */
  public boolean needsTurn(long unreadTokens, long promptTokens, double tokensPerMs, long gapMs) {
    if (promptTokens <= SHORT_SHARE * gapMs * tokensPerMs) {
      return false;
    }
    double usual = usual(promptTokens);
    return unreadTokens > SHORT_SHARE * gapMs * tokensPerMs
        && usual <= MAX_USUAL_SHARE * gapMs * tokensPerMs;
  }

  /** Adds the length of a long prompt and returns the usual one, in tokens. */
  private synchronized double usual(long promptTokens) {
    usualTokens += (usualTokens == 0 ? 1 : WEIGHT) * (promptTokens - usualTokens);
    return usualTokens;
  }

  /**
   * Asks for a turn.
   *
   * @param dataCentre the data centre of the engines
   * @param adapter the adapter; empty for the base model alone
   * @param flow the priority and workspace of the request
   * @param gapMs the target for the longest pause between two events, in milliseconds
   * @param inTimeMs time within which the prompt has to be sent to be answered in time, in
   *     milliseconds
   * @param options the engines that can serve the request, the preferred first
   * @param listener receives the reply
   * @return stands for the request; empty if there is no coordinator
   */
  public OptionalLong ask(
      DataCentreId dataCentre,
      Optional<AdapterName> adapter,
      Flow flow,
      long gapMs,
      long inTimeMs,
      List<RoomMessage.PromptOption> options,
      Listener listener) {
    long id = ids.incrementAndGet();
    asked.put(id, new Asked(dataCentre, listener));
    LinkMessage request =
        new RoomMessage.PromptRequest(id, adapter, flow, gapMs, inTimeMs, options);
    if (links.send(dataCentre, request)) {
      return OptionalLong.of(id);
    }
    asked.remove(id);
    return OptionalLong.empty();
  }

  /**
   * Reports that a prompt is sent without a turn, so that others are not sent there at once.
   *
   * @param dataCentre the data centre of the engine
   * @param engine the engine, with the part of the prompt that it has to read
   * @return stands for the request; empty if there is no coordinator
   */
  public OptionalLong sent(DataCentreId dataCentre, RoomMessage.PromptOption engine) {
    long id = ids.incrementAndGet();
    boolean isReported = links.send(dataCentre, new RoomMessage.PromptSent(id, engine));
    return isReported ? OptionalLong.of(id) : OptionalLong.empty();
  }

  /**
   * Reports that a prompt was read, or that the request does not need its turn any more.
   *
   * @param dataCentre the data centre that was asked
   * @param id stands for the request
   */
  public void read(DataCentreId dataCentre, long id) {
    asked.remove(id);
    // The caller may hold locks that a send which fails needs.
    executor.execute(() -> links.send(dataCentre, new RoomMessage.PromptRead(id)));
  }

  /** Counts how the wait for a turn has ended. */
  public void count(String result) {
    metrics.count("sequoiapass_prompt_turns_total{result=\"" + result + "\"}");
  }

  @Override
  public void receive(DataCentreId coordinator, LinkMessage message, long now) {
    if (message instanceof RoomMessage.PromptTurn turn) {
      Asked request = asked.remove(turn.id());
      if (request == null) {
        read(coordinator, turn.id());
      } else {
        request.listener().given(turn.endpoint(), turn.delayMs());
      }
    }
  }

  @Override
  public void lost(DataCentreId coordinator, long now) {
    asked.forEach(
        (id, request) -> {
          if (request.dataCentre().equals(coordinator) && asked.remove(id, request)) {
            request.listener().lost();
          }
        });
  }
}
