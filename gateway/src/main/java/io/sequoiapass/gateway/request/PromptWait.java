package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.connection.RoomMessage;
import io.sequoiapass.gateway.process.Candidate;
import io.sequoiapass.gateway.process.Choice;
import io.sequoiapass.gateway.process.Demand;
import io.sequoiapass.gateway.process.EndpointGroup;
import io.sequoiapass.gateway.process.EndpointTicket;
import io.sequoiapass.gateway.process.PromptGate;
import io.sequoiapass.gateway.version.RouteSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongConsumer;

/**
 * The turn of one request to have its prompt read.
 *
 * <p>A long prompt that is read beside others delays all streams of an engine. Its request asks the
 * coordinator for a turn, which also knows the prompts of other daemons. Used under the request's
 * lock, but for the coordinator's reply.
 */
final class PromptWait implements PromptGate.Listener {

  /**
   * Part of the tokens believed to be cached that is relied on: engines evict parts unnoticed, and
   * a prompt that is read whole makes its batch too long.
   */
  private static final double CACHED_SHARE = 0.5;

  /**
   * Longest wait of a request for its turns, as a share of the route's target latency: what can
   * wait longer than that has become late for the sake of others' pauses.
   */
  private static final double MAX_WAIT_SHARE = 0.25;

  /** Maximum number of turns that one request asks for. */
  private static final int MAX_ASKS = 3;

  private final PromptGate gate;
  private final EndpointGroup group;
  private final RouteSpec route;
  private final RequestOrigin origin;
  private final LongConsumer dispatchIn;
  private OptionalLong id = OptionalLong.empty();
  private DataCentreId dataCentre;
  private List<Candidate> options = List.of();
  private int asks;
  private long until;
  private boolean used;
  private boolean sentWithoutTurn;
  private volatile EndpointId given;
  private volatile boolean lost;

  /**
   * Creates a wait that has not begun.
   *
   * @param gate asks coordinators
   * @param group the engines
   * @param route the request's route
   * @param origin when the request arrived
   * @param dispatchIn dispatches the request after a time, in milliseconds; called by any thread
   */
  PromptWait(
      PromptGate gate,
      EndpointGroup group,
      RouteSpec route,
      RequestOrigin origin,
      LongConsumer dispatchIn) {
    this.gate = gate;
    this.group = group;
    this.route = route;
    this.origin = origin;
    this.dispatchIn = dispatchIn;
  }

  /**
   * Returns how to send the request; empty if it has to wait for its turn.
   *
   * @param choice the chosen endpoint
   * @param demand the requirements of the request
   * @param now the time, in milliseconds
   */
  Optional<Choice.Send> turn(Choice.Send choice, Demand demand, long now) {
    if (used) {
      end();
    }
    if (id.isPresent() && hasNewHolder(choice)) {
      end();
    }
    if (id.isPresent()) {
      return reply(choice, now);
    }
    boolean needed = route.streams() && needsTurn(choice.candidate(), demand);
    if (needed && asks < MAX_ASKS && ask(choice, demand, now)) {
      return Optional.empty();
    }
    sentWithoutTurn = needed;
    return Optional.of(choice);
  }

  /** Returns whether a copy has been loaded that the request did not name when it asked. */
  private boolean hasNewHolder(Choice.Send choice) {
    EndpointId chosen = choice.candidate().endpoint();
    return given == null
        && asks < MAX_ASKS
        && options.stream().noneMatch(option -> option.endpoint().equals(chosen));
  }

  private Optional<Choice.Send> reply(Choice.Send choice, long now) {
    EndpointId endpoint = given;
    if (endpoint != null) {
      used = true;
      gate.count("given");
      return options.stream()
          .filter(candidate -> candidate.endpoint().equals(endpoint))
          .findFirst()
          .map(candidate -> new Choice.Send(candidate, choice.expectedMs()))
          .or(() -> Optional.of(choice));
    }
    if (!lost && now < until) {
      return Optional.empty();
    }
    gate.count(lost ? "lost" : "waited_out");
    end();
    asks = MAX_ASKS;
    sentWithoutTurn = true;
    return Optional.of(choice);
  }

  private boolean ask(Choice.Send choice, Demand demand, long now) {
    asks++;
    given = null;
    lost = false;
    dataCentre = choice.candidate().dataCentre();
    options = group.alternatives(choice.candidate(), demand, now);
    if (asks == 1) {
      until =
          now + Math.min(Math.round(MAX_WAIT_SHARE * route.targetMs()), demand.remainingMs() / 2);
    }
    double readMs = unread(choice.candidate(), demand) / group.usualReadingTokensPerMs();
    long inTimeMs = route.targetMs() - origin.waitedMs(now) - Math.round(readMs);
    List<RoomMessage.PromptOption> asked = new ArrayList<>();
    options.forEach(candidate -> asked.add(option(candidate, demand)));
    id =
        gate.ask(
            dataCentre,
            demand.generation().flatMap(Generation::adapter),
            flow(demand),
            route.gapTargetMs(),
            Math.max(0, inTimeMs),
            asked,
            this);
    return id.isPresent();
  }

  private static RoomMessage.PromptOption option(Candidate candidate, Demand demand) {
    return new RoomMessage.PromptOption(candidate.endpoint(), unread(candidate, demand));
  }

  /** Engines admit by priority, too, whether there are workspaces or not. */
  private Flow flow(Demand demand) {
    Flow flow = demand.flow();
    return flow.workspace().isPresent() ? flow : Flow.of(route.priority(), flow.workspace());
  }

  private boolean needsTurn(Candidate candidate, Demand demand) {
    long promptTokens = demand.generation().map(Generation::promptTokens).orElse(0);
    return gate.needsTurn(
        unread(candidate, demand),
        promptTokens,
        group.usualReadingTokensPerMs(),
        route.gapTargetMs());
  }

  private static long unread(Candidate candidate, Demand demand) {
    return demand
        .generation()
        .map(generation -> generation.promptTokens() - CACHED_SHARE * candidate.cachedTokens())
        .map(tokens -> Math.max(0, Math.round(tokens)))
        .orElse(0L);
  }

  /** Waits for the turn that was asked for. */
  void await(RequestWait wait, long now) {
    wait.start(WaitTimes.Kind.TURN, now, Math.max(1, until - now));
  }

  /**
   * Records that the request is sent: its turn ends once the prompt is read. A prompt that is sent
   * without a turn is reported, since it delays the streams of its engine just as well.
   *
   * @param ticket tracks the request
   * @param engine the engine that it is sent to
   * @param demand the requirements of the request
   */
  void sent(EndpointTicket ticket, Candidate engine, Demand demand) {
    if (sentWithoutTurn) {
      dataCentre = engine.dataCentre();
      id = gate.sent(dataCentre, option(engine, demand));
    }
    if ((used || sentWithoutTurn) && id.isPresent()) {
      long turn = id.getAsLong();
      DataCentreId asked = dataCentre;
      id = OptionalLong.empty();
      ticket.onRead(() -> gate.read(asked, turn));
    }
    used = false;
    sentWithoutTurn = false;
  }

  /** Ends the turn, or the wait for one. */
  void end() {
    if (id.isPresent()) {
      gate.read(dataCentre, id.getAsLong());
      id = OptionalLong.empty();
    }
    used = false;
    sentWithoutTurn = false;
  }

  @Override
  public void given(EndpointId endpoint, long delayMs) {
    given = endpoint;
    dispatchIn.accept(delayMs);
  }

  @Override
  public void lost() {
    lost = true;
    dispatchIn.accept(0);
  }
}
