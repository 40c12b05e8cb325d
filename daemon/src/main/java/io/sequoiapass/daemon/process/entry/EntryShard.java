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
 * Drives the requests of some callers from their arrival to their outcome.
 *
 * <p>Everything about a request happens under the shard's lock, so what goes to its caller keeps
 * its order. Writes to connections are queued there and block nothing. The shard calls no other
 * shard: an owner in the same process is reached through a channel like any other.
 */
public final class EntryShard {

  private static final long PROOF_MARGIN_MS = 60;
  private static final int PROOF_MARGIN_PART = 4;

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
   * Makes a shard without requests.
   *
   * @param clock the clock of deadlines
   * @param routes finds where attempts go
   * @param settings limits of a request's attempts
   * @param budget limits retries over all of the shard's requests
   * @param observer hears of the stages of requests
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
   * Takes a request.
   *
   * @param request the request
   * @param snapshot the configuration that it was read against
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
              new RequestAttempts(spec, settings, budget, times(request).hedging());
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

  private FirstTokenTimes times(CallerRequest request) {
    return request.target() instanceof RouteTarget.Engine ? engineTimes : serviceTimes;
  }

  /**
   * Takes a frame from an owner.
   *
   * @param message the frame
   */
  public void received(PeerMessage.OfAttempt message) {
    locked(
        () -> {
          EntryRequest entry = requests.get(message.id().request());
          if (entry != null) {
            take(entry, message);
          }
        });
  }

  /**
   * Returns whether a request is under way here.
   *
   * @param request the request
   */
  public boolean has(RequestId request) {
    lock.lock();
    try {
      return requests.containsKey(request);
    } finally {
      lock.unlock();
    }
  }

  /**
   * Takes that the connection to an owner has closed.
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
              on(entry, new AttemptEvent.OwnerLost(attempt));
            }
          }
        });
  }

  /** Lets time pass; to be called every 10 to 50 ms. */
  public void tick() {
    locked(
        () -> {
          long now = clock.millis();
          for (EntryRequest entry : List.copyOf(requests.values())) {
            if (now >= entry.attempts().nextTickMillis()) {
              on(entry, new AttemptEvent.Tick());
            }
          }
        });
  }

  /** Returns the number of requests under way. */
  public int size() {
    lock.lock();
    try {
      return requests.size();
    } finally {
      lock.unlock();
    }
  }

  private void event(RequestId id, AttemptEvent event) {
    locked(() -> Optional.ofNullable(requests.get(id)).ifPresent(entry -> on(entry, event)));
  }

  private void take(EntryRequest entry, PeerMessage.OfAttempt message) {
    int attempt = message.id().attempt();
    results.received(message, clock.millis());
    if (message instanceof PeerMessage.Tokens tokens) {
      takeTokens(entry, tokens);
    } else if (message instanceof PeerMessage.Started started) {
      entry.movedTo(attempt, started.endpoint());
      on(entry, new AttemptEvent.Routed(attempt, started.endpoint()));
    } else if (message instanceof PeerMessage.Finished finished) {
      routes.learn(finished.load());
      on(
          entry,
          new AttemptEvent.Frame(
              new AnswerFrame.Finished(
                  entry.request().id(),
                  attempt,
                  Optional.of(finished.ranOn()),
                  finished.tokens())));
    } else if (message instanceof PeerMessage.ServiceAnswer answer) {
      serviceTimes.add(entry.agedMs(clock.millis()));
      entry.hold(answer);
      on(
          entry,
          new AttemptEvent.Frame(
              new AnswerFrame.Finished(entry.request().id(), attempt, Optional.empty(), 0)));
    } else if (message instanceof PeerMessage.MayStart) {
      on(entry, new AttemptEvent.StartAsked(attempt));
    } else if (message instanceof PeerMessage.Refused refused) {
      on(entry, refusedEvent(attempt, refused));
    } else if (message instanceof PeerMessage.EndpointLost) {
      on(entry, new AttemptEvent.EndpointLost(attempt));
    }
  }

  private void takeTokens(EntryRequest entry, PeerMessage.Tokens tokens) {
    int index = tokens.firstIndex();
    Optional<AdapterVersion> ranOn = Optional.of(tokens.ranOn());
    for (String text : tokens.texts()) {
      AnswerFrame.Token token =
          new AnswerFrame.Token(entry.request().id(), tokens.id().attempt(), ranOn, index, text);
      perform(entry, entry.attempts().on(new AttemptEvent.Frame(token), clock.millis()));
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

  private void on(EntryRequest entry, AttemptEvent event) {
    perform(entry, entry.attempts().on(event, clock.millis()));
    flush(entry);
  }

  private void flush(EntryRequest entry) {
    if (entry.answer().flush() && !entry.answer().responder().writable()) {
      flow(entry, true);
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
      toOwner(entry, cancel.attempt(), new PeerMessage.Cancel(entry.attempt(cancel.attempt())));
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
            .find(request.target(), entry.snapshot(), send.prefer(), avoided(send))
            .filter(route -> !results.isUnderWay(entry.attempt(send.attempt()), route.endpoint()));
    if (found.isEmpty()) {
      // A hedge beside its first attempt on one endpoint would only make that endpoint slower.
      on(entry, new AttemptEvent.Unroutable(send.attempt(), ErrorKind.NO_ENDPOINT));
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
            from(request.work(), send.resumeFrom()),
            mode,
            ownersMillis(request.deadlineMs() - clock.millis()),
            request.repeatability().needsStartGrant());
    observer.routed(request, send.attempt(), route.endpoint());
    on(entry, new AttemptEvent.Routed(send.attempt(), route.endpoint()));
    if (!route.owner().send(forward)) {
      // Nothing was sent, but what the attempt was counted as has to be undone by its own rules.
      on(entry, new AttemptEvent.OwnerLost(send.attempt()));
    }
  }

  private Set<EndpointId> avoided(AttemptAction.Send send) {
    Set<EndpointId> avoided = results.leftOut(clock.millis());
    avoided.addAll(send.avoid());
    return avoided;
  }

  /**
   * Returns the time that an owner gets. Were it the whole, the owner's proof that a request never
   * left its queue would arrive just after the entry had to say UNKNOWN; a round of the owner's and
   * of the entry's timer and the way back fit into the margin. Short deadlines give up a part only.
   */
  private static long ownersMillis(long remainingMillis) {
    long margin = Math.min(PROOF_MARGIN_MS, remainingMillis / PROOF_MARGIN_PART);
    return Math.max(1, remainingMillis - margin);
  }

  private static ForwardedWork from(ForwardedWork work, int index) {
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
        toOwner(entry, attempt, new PeerMessage.StartAnswer(entry.attempt(attempt), granted));
    if (granted && !sent) {
      on(entry, new AttemptEvent.OwnerLost(attempt));
    }
  }

  private static boolean toOwner(EntryRequest entry, int attempt, PeerMessage message) {
    return entry.route(attempt).map(route -> route.owner().send(message)).orElse(false);
  }

  private void deliver(EntryRequest entry, AnswerFrame.Token token) {
    if (entry.takeFirstToken()) {
      observer.firstToken(entry.request());
      engineTimes.add(entry.agedMs(clock.millis()));
    }
    entry.answer().token(token.index(), token.text());
  }

  private void writable(RequestId id) {
    locked(() -> Optional.ofNullable(requests.get(id)).ifPresent(entry -> flow(entry, false)));
  }

  /**
   * A caller that reads slowly would have its whole answer pile up here. Telling the owner to stop
   * reading is enough: TCP then holds the engine, and what is on the way is bounded by the windows.
   */
  private void flow(EntryRequest entry, boolean pause) {
    if (entry.pause(pause)) {
      on(entry, new AttemptEvent.Flow(pause));
      entry
          .routes()
          .forEach(
              (attempt, route) ->
                  route.owner().send(new PeerMessage.Flow(entry.attempt(attempt), pause)));
    }
  }

  private void end(EntryRequest entry, Outcome outcome) {
    requests.remove(entry.request().id());
    results.over(entry, clock.millis());
    observer.ended(entry.request(), outcome);
    if (entry.request().startIsRecorded()) {
      records.finished(entry.request(), outcome.outcomeClass());
    }
    if (outcome instanceof Outcome.Answered answered) {
      entry
          .serviceAnswer()
          .ifPresentOrElse(entry.answer()::service, () -> entry.answer().whole(answered.tokens()));
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
