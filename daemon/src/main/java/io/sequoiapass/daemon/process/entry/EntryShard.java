package io.sequoiapass.daemon.process.entry;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.coordination.request.AnswerFrame;
import io.sequoiapass.coordination.request.AttemptAction;
import io.sequoiapass.coordination.request.AttemptEvent;
import io.sequoiapass.coordination.request.AttemptSettings;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.request.FirstTokenTimes;
import io.sequoiapass.coordination.request.NotRunProof;
import io.sequoiapass.coordination.request.Outcome;
import io.sequoiapass.coordination.request.RequestAttempts;
import io.sequoiapass.coordination.request.RequestSpec;
import io.sequoiapass.coordination.request.RetryBudget;
import io.sequoiapass.coordination.version.ConfigurationSnapshot;
import io.sequoiapass.daemon.connection.HttpResponder;
import io.sequoiapass.daemon.connection.peer.ForwardedWork;
import io.sequoiapass.daemon.connection.peer.PeerChannel;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import io.sequoiapass.daemon.request.CallerAnswer;
import io.sequoiapass.daemon.request.CallerRequest;
import io.sequoiapass.daemon.request.RouteTarget;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Processes a share of the callers' requests from arrival to outcome.
 *
 * <p>All state of a request changes under the shard's lock, so data sent to its caller stays in
 * order. Connections queue writes, so no write blocks under the lock. A shard never calls another
 * shard: it reaches an owner in the same process through a channel, like any other owner.
 */
public final class EntryShard {

  /** Covers one timer round of the owner, one of the entry, and the message between them. */
  private static final long PROOF_MARGIN_MS = 60;

  /** Limits the margin to a quarter of a short deadline. */
  private static final int PROOF_MARGIN_DIVISOR = 4;

  private final ReentrantLock lock = new ReentrantLock();
  private final Map<RequestId, EntryRequest> requests = new HashMap<>();
  private final MillisClock clock;
  private final Routes routes;
  private final AttemptSettings settings;
  private final RetryBudget budget;
  private final EntryObserver observer;
  private final StartRecords records;
  private final EndpointResults results = new EndpointResults();
  private final FirstTokenTimes engineTimes = new FirstTokenTimes();
  private final FirstTokenTimes serviceTimes = new FirstTokenTimes();

  /**
   * Creates a shard without requests.
   *
   * @param clock the clock of deadlines
   * @param routes finds the destinations of attempts
   * @param settings limits of a request's attempts
   * @param budget limits retries over all of the shard's requests
   * @param observer receives the stages of requests
   * @param records records the starts of requests with a key
   */
  public EntryShard(
      MillisClock clock,
      Routes routes,
      AttemptSettings settings,
      RetryBudget budget,
      EntryObserver observer,
      StartRecords records) {
    this.clock = Objects.requireNonNull(clock, "clock");
    this.routes = Objects.requireNonNull(routes, "routes");
    this.settings = Objects.requireNonNull(settings, "settings");
    this.budget = Objects.requireNonNull(budget, "budget");
    this.observer = Objects.requireNonNull(observer, "observer");
    this.records = Objects.requireNonNull(records, "records");
  }

  /**
   * Accepts a request.
   *
   * @param request the request
   * @param snapshot the configuration that it was parsed against
   * @param responder the caller's connection
   */
  public void accept(
      CallerRequest request, ConfigurationSnapshot snapshot, HttpResponder responder) {
    Optional<AdapterVersion> runsOn = EntryRequest.runsOn(request);
    RequestSpec spec =
        new RequestSpec(
            request.id(),
            runsOn,
            request.repeatability(),
            request.priority(),
            request.startIsRecorded(),
            request.target() instanceof RouteTarget.Engine,
            request.deadlineMs());
    locked(
        () -> {
          RequestAttempts attempts =
              new RequestAttempts(spec, settings, budget, firstTokenTimes(request).hedging());
          CallerAnswer answer = new CallerAnswer(responder, request, runsOn);
          EntryRequest entry =
              new EntryRequest(request, snapshot, attempts, answer, clock.millis());
          requests.put(request.id(), entry);
          observer.accepted(request);
          perform(entry, attempts.begin(clock.millis()));
        });
    responder.onClose(() -> event(request.id(), new AttemptEvent.CallerLeft()));
    responder.onWritable(() -> writable(request.id()));
  }

  private FirstTokenTimes firstTokenTimes(CallerRequest request) {
    return request.target() instanceof RouteTarget.Engine ? engineTimes : serviceTimes;
  }

  /**
   * Handles a frame from an owner.
   *
   * @param message the frame
   */
  public void received(PeerMessage.OfAttempt message) {
    locked(
        () -> {
          EntryRequest entry = requests.get(message.id().request());
          if (entry != null) {
            handleFrame(entry, message);
          }
        });
  }

  /**
   * Returns whether a request is in flight on this shard.
   *
   * @param request the request
   */
  public boolean contains(RequestId request) {
    lock.lock();
    try {
      return requests.containsKey(request);
    } finally {
      lock.unlock();
    }
  }

  /**
   * Handles the loss of the connection to an owner.
   *
   * @param channel the connection
   */
  public void ownerLost(PeerChannel channel) {
    locked(
        () -> {
          for (EntryRequest entry : List.copyOf(requests.values())) {
            List<Integer> lost =
                entry.routes().entrySet().stream()
                    .filter(route -> route.getValue().owner() == channel)
                    .map(Map.Entry::getKey)
                    .sorted()
                    .toList();
            for (int attempt : lost) {
              results.withdrawn(entry.attempt(attempt), clock.millis());
              handle(entry, new AttemptEvent.OwnerLost(attempt));
            }
          }
        });
  }

  /** Runs due timers; to be called every 10 to 50 ms. */
  public void tick() {
    locked(
        () -> {
          long now = clock.millis();
          for (EntryRequest entry : List.copyOf(requests.values())) {
            if (now >= entry.attempts().nextTickMillis()) {
              handle(entry, new AttemptEvent.Tick());
            }
          }
        });
  }

  /** Returns the number of requests in flight. */
  public int size() {
    lock.lock();
    try {
      return requests.size();
    } finally {
      lock.unlock();
    }
  }

  private void event(RequestId id, AttemptEvent event) {
    locked(() -> Optional.ofNullable(requests.get(id)).ifPresent(entry -> handle(entry, event)));
  }

  private void handleFrame(EntryRequest entry, PeerMessage.OfAttempt message) {
    int attempt = message.id().attempt();
    results.received(message, clock.millis());
    if (message instanceof PeerMessage.Tokens tokens) {
      handleTokens(entry, tokens);
    } else if (message instanceof PeerMessage.Started started) {
      entry.endpointChanged(attempt, started.endpoint());
      handle(entry, new AttemptEvent.Routed(attempt, started.endpoint()));
    } else if (message instanceof PeerMessage.Finished finished) {
      routes.updateLoads(finished.load());
      handle(
          entry,
          new AttemptEvent.Frame(
              new AnswerFrame.Finished(
                  entry.request().id(),
                  attempt,
                  Optional.of(finished.ranOn()),
                  finished.tokens())));
    } else if (message instanceof PeerMessage.ServiceAnswer answer) {
      serviceTimes.add(entry.ageMs(clock.millis()));
      entry.serviceAnswer(answer);
      handle(
          entry,
          new AttemptEvent.Frame(
              new AnswerFrame.Finished(entry.request().id(), attempt, Optional.empty(), 0)));
    } else if (message instanceof PeerMessage.MayStart) {
      handle(entry, new AttemptEvent.StartRequested(attempt));
    } else if (message instanceof PeerMessage.Refused refused) {
      handle(entry, refusedEvent(attempt, refused));
    } else if (message instanceof PeerMessage.EndpointLost) {
      handle(entry, new AttemptEvent.EndpointLost(attempt));
    }
  }

  private void handleTokens(EntryRequest entry, PeerMessage.Tokens tokens) {
    int index = tokens.firstIndex();
    Optional<AdapterVersion> ranOn = Optional.of(tokens.ranOn());
    for (String text : tokens.texts()) {
      AnswerFrame.Token token =
          new AnswerFrame.Token(entry.request().id(), tokens.id().attempt(), ranOn, index, text);
      perform(entry, entry.attempts().handle(new AttemptEvent.Frame(token), clock.millis()));
      index++;
    }
    flush(entry);
  }

  private static AttemptEvent refusedEvent(int attempt, PeerMessage.Refused refused) {
    NotRunProof proof =
        refused.byEndpoint() ? NotRunProof.refusedByEndpoint() : NotRunProof.withdrawnFromQueue();
    OptionalLong comeBack =
        refused.comeBackMs() > 0 ? OptionalLong.of(refused.comeBackMs()) : OptionalLong.empty();
    return new AttemptEvent.Refused(attempt, refused.kind(), proof, comeBack);
  }

  private void handle(EntryRequest entry, AttemptEvent event) {
    perform(entry, entry.attempts().handle(event, clock.millis()));
    flush(entry);
  }

  private void flush(EntryRequest entry) {
    if (entry.answer().flush() && !entry.answer().responder().writable()) {
      setFlow(entry, true);
    }
  }

  private void perform(EntryRequest entry, List<AttemptAction> actions) {
    for (AttemptAction action : actions) {
      perform(entry, action);
    }
  }

  private void perform(EntryRequest entry, AttemptAction action) {
    if (action instanceof AttemptAction.Send send) {
      send(entry, send);
    } else if (action instanceof AttemptAction.GrantStart grant) {
      answerStart(entry, grant.attempt(), true);
    } else if (action instanceof AttemptAction.DenyStart deny) {
      answerStart(entry, deny.attempt(), false);
    } else if (action instanceof AttemptAction.Cancel cancel) {
      results.withdrawn(entry.attempt(cancel.attempt()), clock.millis());
      sendToOwner(entry, cancel.attempt(), new PeerMessage.Cancel(entry.attempt(cancel.attempt())));
    } else if (action instanceof AttemptAction.Deliver deliver) {
      deliver(entry, deliver.token());
    } else if (action instanceof AttemptAction.End end) {
      end(entry, end.outcome());
    } else if (action instanceof AttemptAction.RecordStart record) {
      recordStart(entry.request(), record.attempt());
    }
  }

  private void recordStart(CallerRequest request, int attempt) {
    records.record(
        request,
        refusal ->
            event(
                request.id(),
                refusal
                    .<AttemptEvent>map(kind -> new AttemptEvent.StartRefused(attempt, kind))
                    .orElseGet(() -> new AttemptEvent.StartRecorded(attempt))));
  }

  private void send(EntryRequest entry, AttemptAction.Send send) {
    CallerRequest request = entry.request();
    Optional<Route> found =
        routes
            .find(request.target(), entry.snapshot(), send.prefer(), excludedEndpoints(send))
            .filter(
                route -> !results.hasOtherAttempt(entry.attempt(send.attempt()), route.endpoint()));
    if (found.isEmpty()) {
      // A hedged request on the endpoint of the first attempt would only slow that endpoint down.
      handle(entry, new AttemptEvent.Unroutable(send.attempt(), ErrorKind.NO_ENDPOINT));
      return;
    }
    Route route = found.get();
    entry.routed(send.attempt(), route);
    results.sent(entry.attempt(send.attempt()), route.endpoint(), clock.millis());
    boolean attached = send.prefer().filter(route.endpoint()::equals).isPresent();
    AttemptAction.Mode mode =
        send.mode() == AttemptAction.Mode.ATTACH_OR_RUN && !attached
            ? AttemptAction.Mode.RUN
            : send.mode();
    PeerMessage.Forward forward =
        new PeerMessage.Forward(
            entry.attempt(send.attempt()),
            route.endpoint(),
            resumed(request.work(), send.resumeFrom()),
            mode,
            ownerTimeoutMillis(request.deadlineMs() - clock.millis()),
            request.repeatability().needsStartGrant());
    observer.routed(request, send.attempt(), route.endpoint());
    handle(entry, new AttemptEvent.Routed(send.attempt(), route.endpoint()));
    if (!route.owner().send(forward)) {
      results.withdrawn(entry.attempt(send.attempt()), clock.millis());
      handle(entry, sendFailedEvent(send.attempt()));
    }
  }

  private Set<EndpointId> excludedEndpoints(AttemptAction.Send send) {
    Set<EndpointId> excluded = results.excluded(clock.millis());
    excluded.addAll(send.avoid());
    return excluded;
  }

  /**
   * Returns the event for a failed send over a closed connection. A first attempt moves to another
   * endpoint. A later one is delayed and does not count as an attempt, since nothing was sent: when
   * several connections close together, a request would otherwise use up all its attempts within a
   * millisecond, and a caller whose stream could be resumed would receive UNKNOWN.
   */
  private static AttemptEvent sendFailedEvent(int attempt) {
    return attempt > 1
        ? new AttemptEvent.Unroutable(attempt, ErrorKind.NO_ENDPOINT)
        : new AttemptEvent.OwnerLost(attempt);
  }

  /**
   * Returns the time that an owner gets. With all of the remaining time, the owner's proof that a
   * request never left its queue would arrive just after the entry had to answer UNKNOWN.
   */
  private static long ownerTimeoutMillis(long remainingMillis) {
    long margin = Math.min(PROOF_MARGIN_MS, remainingMillis / PROOF_MARGIN_DIVISOR);
    return Math.max(1, remainingMillis - margin);
  }

  private static ForwardedWork resumed(ForwardedWork work, int index) {
    return work instanceof ForwardedWork.Completion completion && index > 0
        ? new ForwardedWork.Completion(
            completion.adapter(),
            completion.model(),
            completion.priority(),
            completion.service(),
            completion.prompt(),
            completion.maxTokens(),
            index)
        : work;
  }

  private void answerStart(EntryRequest entry, int attempt, boolean granted) {
    boolean sent =
        sendToOwner(entry, attempt, new PeerMessage.StartAnswer(entry.attempt(attempt), granted));
    if (granted && !sent) {
      handle(entry, new AttemptEvent.OwnerLost(attempt));
    }
  }

  private static boolean sendToOwner(EntryRequest entry, int attempt, PeerMessage message) {
    return entry.route(attempt).map(route -> route.owner().send(message)).orElse(false);
  }

  private void deliver(EntryRequest entry, AnswerFrame.Token token) {
    if (entry.markFirstToken()) {
      observer.firstToken(entry.request());
      engineTimes.add(entry.ageMs(clock.millis()));
    }
    entry.answer().token(token.index(), token.text());
  }

  private void writable(RequestId id) {
    locked(() -> Optional.ofNullable(requests.get(id)).ifPresent(entry -> setFlow(entry, false)));
  }

  /**
   * Pauses or resumes the owners. The complete answer of a caller that reads slowly would otherwise
   * be buffered here. It is enough that the owner stops reading: TCP flow control then stops the
   * engine, and the receive windows bound the data in flight.
   */
  private void setFlow(EntryRequest entry, boolean pause) {
    if (entry.setPaused(pause)) {
      handle(entry, new AttemptEvent.Flow(pause));
      entry
          .routes()
          .forEach(
              (attempt, route) ->
                  route.owner().send(new PeerMessage.Flow(entry.attempt(attempt), pause)));
    }
  }

  private void end(EntryRequest entry, Outcome outcome) {
    requests.remove(entry.request().id());
    results.requestEnded(entry, clock.millis());
    observer.ended(entry.request(), outcome);
    if (entry.request().startIsRecorded()) {
      records.finished(entry.request(), outcome.outcomeClass());
    }
    if (outcome instanceof Outcome.Answered answered) {
      entry
          .serviceAnswer()
          .ifPresentOrElse(
              entry.answer()::service, () -> entry.answer().complete(answered.tokens()));
    } else {
      entry.answer().failed(outcome, "");
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
