package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.RequestId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.assertj.core.api.Assertions;

/**
 * Simulates owners, endpoints and a network for one request, and counts the runs at the endpoints.
 */
final class AttemptSimulation {

  static final RequestId ID = new RequestId("r");
  static final Optional<AdapterVersion> NOTES = Optional.of(AdapterVersion.parse("notes@v7"));
  private static final Optional<AdapterVersion> OTHER = Optional.of(AdapterVersion.parse("x@v1"));
  private static final int STEPS = 400;

  private final Random random;
  private final RequestSpec spec;
  private final RequestAttempts attempts;
  private final int length;
  private final List<Runnable> inFlight = new ArrayList<>();
  private final Map<Integer, AttemptAction.Send> sent = new HashMap<>();
  private final Set<Integer> broken = new HashSet<>();
  private final Set<Integer> withdrawn = new HashSet<>();
  private final Set<EndpointId> streamHolders = new HashSet<>();
  private long now;
  int runs;
  int delivered;
  boolean callerLeft;
  final List<Outcome> outcomes = new ArrayList<>();

  AttemptSimulation(long seed, Repeatability repeatability) {
    random = new Random(seed);
    length = 1 + random.nextInt(6);
    boolean keyed = repeatability.needsStartGrant() && random.nextBoolean();
    spec =
        new RequestSpec(
            ID, NOTES, repeatability, Priority.DEADLINE, keyed, random.nextInt(4) > 0, 300);
    attempts =
        new RequestAttempts(
            spec,
            new AttemptSettings(4, 3, 20, 40, 3, 5, 10),
            new RetryBudget(0.1, 10),
            Optional.of(new HedgePolicy(15)));
  }

  /**
   * Runs until the outcome and then until no message is left, since a late message may still run
   * it.
   */
  void run() {
    perform(attempts.begin(now));
    for (int step = 0; step < STEPS; step++) {
      now += random.nextInt(3);
      if (!inFlight.isEmpty() && random.nextInt(4) > 0) {
        inFlight.remove(random.nextInt(inFlight.size())).run();
      } else if (now >= attempts.nextTickMillis()) {
        handle(new AttemptEvent.Tick());
      } else if (random.nextInt(60) == 0) {
        callerLeft = true;
        handle(new AttemptEvent.CallerLeft());
      }
    }
    now = spec.deadlineMillis();
    handle(new AttemptEvent.Tick());
    while (!inFlight.isEmpty()) {
      inFlight.remove(0).run();
    }
  }

  private boolean oneIn(int n) {
    return random.nextInt(n) == 0;
  }

  private void handle(AttemptEvent event) {
    perform(attempts.handle(event, now));
  }

  private void perform(List<AttemptAction> actions) {
    for (AttemptAction action : actions) {
      if (action instanceof AttemptAction.Send send) {
        route(send);
      } else if (action instanceof AttemptAction.RecordStart record) {
        inFlight.add(() -> handle(recordAnswer(record.attempt())));
      } else if (action instanceof AttemptAction.GrantStart grant) {
        inFlight.add(() -> write(sent.get(grant.attempt())));
      } else if (action instanceof AttemptAction.Deliver deliver) {
        Assertions.assertThat(deliver.token().text()).isEqualTo("t" + delivered++);
        Assertions.assertThat(deliver.token().ranOn()).isEqualTo(NOTES);
      } else if (action instanceof AttemptAction.End end) {
        outcomes.add(end.outcome());
      }
    }
  }

  private AttemptEvent recordAnswer(int attempt) {
    return oneIn(6)
        ? new AttemptEvent.StartRefused(attempt, ErrorKind.LEDGER_UNAVAILABLE)
        : new AttemptEvent.StartRecorded(attempt);
  }

  private void route(AttemptAction.Send send) {
    if (oneIn(12)) {
      inFlight.add(
          () -> handle(new AttemptEvent.Unroutable(send.attempt(), ErrorKind.NO_ENDPOINT)));
      return;
    }
    sent.put(send.attempt(), send);
    EndpointId to = send.prefer().orElse(new EndpointId("e" + random.nextInt(3)));
    handle(new AttemptEvent.Routed(send.attempt(), to));
    if (!oneIn(10)) {
      inFlight.add(() -> ownerReceives(send, to));
    }
    if (oneIn(4)) {
      inFlight.add(() -> breakLink(send.attempt()));
    }
  }

  private void breakLink(int attempt) {
    broken.add(attempt);
    handle(new AttemptEvent.OwnerLost(attempt));
  }

  /**
   * Sends to the entry daemon; on a broken link the frame is lost or arrives late by another route.
   */
  private void toEntry(int attempt, AttemptEvent event) {
    inFlight.add(
        () -> {
          if (!broken.contains(attempt) || oneIn(2)) {
            handle(event);
          }
        });
  }

  private void ownerReceives(AttemptAction.Send send, EndpointId to) {
    int attempt = send.attempt();
    if (send.mode() != AttemptAction.Mode.RUN && streamHolders.contains(to)) {
      stream(attempt, send.resumeFrom());
    } else if (send.mode() == AttemptAction.Mode.ATTACH_ONLY || oneIn(6)) {
      refuse(attempt, NotRunProof.withdrawnFromQueue());
    } else if (spec.repeatability().needsStartGrant()) {
      toEntry(attempt, new AttemptEvent.StartRequested(attempt));
      if (oneIn(4)) {
        toEntry(attempt, new AttemptEvent.StartRequested(attempt));
      }
      if (oneIn(6)) {
        withdrawn.add(attempt);
        refuse(attempt, NotRunProof.withdrawnFromQueue());
      }
    } else {
      write(send);
    }
  }

  private void refuse(int attempt, NotRunProof proof) {
    ErrorKind kind = oneIn(3) ? ErrorKind.DRAINING : ErrorKind.QUEUE_FULL;
    toEntry(attempt, new AttemptEvent.Refused(attempt, kind, proof, OptionalLong.empty()));
  }

  private void write(AttemptAction.Send send) {
    int attempt = send.attempt();
    if (withdrawn.contains(attempt)) {
      return;
    }
    if (oneIn(5)) {
      refuse(attempt, NotRunProof.refusedByEndpoint());
      return;
    }
    runs++;
    if (oneIn(8)) {
      refuse(attempt, NotRunProof.startNotGranted());
      return;
    }
    streamHolders.add(send.prefer().orElse(new EndpointId("e" + random.nextInt(3))));
    stream(attempt, send.resumeFrom());
  }

  private void stream(int attempt, int from) {
    Optional<AdapterVersion> ranOn = oneIn(10) ? OTHER : NOTES;
    int until = oneIn(4) ? from + random.nextInt(length) : length;
    for (int i = from; i < Math.min(until, length); i++) {
      frame(attempt, new AnswerFrame.Token(ID, attempt, ranOn, i, "t" + i));
    }
    if (until >= length || oneIn(3)) {
      frame(attempt, new AnswerFrame.Finished(ID, attempt, ranOn, length));
    } else {
      toEntry(attempt, new AttemptEvent.EndpointLost(attempt));
    }
  }

  private void frame(int attempt, AnswerFrame frame) {
    toEntry(attempt, new AttemptEvent.Frame(frame));
    if (oneIn(8)) {
      toEntry(attempt, new AttemptEvent.Frame(frame));
    }
  }

  int length() {
    return length;
  }
}
