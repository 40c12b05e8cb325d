package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.request.Generation;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.spi.EndpointNotice;
import io.sequoiapass.gateway.version.AdapterName;
import io.sequoiapass.gateway.version.EngineSpec;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Tracks one request at one endpoint from its sending to its end.
 *
 * <p>Safe for use by several threads: its state is guarded by the lock of its {@link
 * EndpointGroup}.
 */
public final class EndpointTicket implements Recipient {

  private final EndpointGroup group;
  private final EndpointState state;
  private final Optional<Generation> generation;
  private final long sentAt;
  private final EndpointEntry entry;
  private final Optional<ProcessDoubt> doubt;
  private final Load load;
  private final long backlog;
  private final double usualMs;
  private final int runningBefore;
  private Runnable onRead = () -> {};
  private boolean begun;
  private boolean stalled;
  private boolean ended;

  EndpointTicket(
      EndpointGroup group, EndpointState state, Optional<Generation> generation, long now) {
    this.group = group;
    this.state = state;
    this.generation = generation;
    this.sentAt = now;
    this.entry = state.entry;
    this.doubt = state.doubt;
    this.load = generation.map(g -> loadOf(state, g)).orElse(new Load(1, 0, 0, 0));
    this.runningBefore = state.own.plus(state.others).running();
    this.backlog = state.own.plus(state.others).prefillTokens() + load.prefillTokens();
    this.usualMs = usualMs();
    state.own = state.own.plus(load);
    state.recent.add(load.prefillTokens(), now);
    state.silence.sent(now);
    generation.ifPresent(
        g -> {
          state.prompts.sent(g, group.engine.map(EngineSpec::kvTokens).orElse(0L));
          g.adapter().ifPresent(adapter -> countStart(adapter, now));
        });
  }

  /** Returns the time that an endpoint of average speed would take, in milliseconds. */
  private double usualMs() {
    Load before = state.own.plus(state.others);
    return generation.isPresent()
        ? EndpointGroup.FIRST_TOKEN_MS
            + EngineCost.firstTokenMs(before, load.prefillTokens(), group.tokensPerMs.value())
        : EndpointChooser.callMs(before.running(), state.entry.slots(), group.serviceMs.value());
  }

  private Load loadOf(EndpointState at, Generation wanted) {
    long unread = Math.max(0, wanted.promptTokens() - at.prompts.cachedTokens(wanted));
    return new Load(1, unread, wanted.memoryTokens(), 0);
  }

  private void countStart(AdapterName adapter, long now) {
    EndpointState.Copy copy = state.copies.get(adapter);
    if (copy != null) {
      state.canaries.sent(adapter, copy, now);
    }
    state.inUse.merge(adapter, 1, Integer::sum);
    state.starts.merge(adapter, 1, Integer::sum);
  }

  @Override
  public boolean noticed(EndpointNotice notice, boolean byEndpoint, long now) {
    synchronized (group) {
      state.silence.received(now);
      if (entry.startTimeMs() != state.entry.startTimeMs()) {
        // A late answer of an earlier process says nothing about its successor. A rest ends by
        // itself and may be the successor's, whose answers can arrive before its entry.
        notice.restMs().ifPresent(restMs -> state.rest(restMs, now));
        return false;
      }
      return group.noticed(state, notice, byEndpoint, sentAt, now);
    }
  }

  /** Sets what runs once, when the prompt was read or the attempt has ended; must not block. */
  public void onRead(Runnable action) {
    synchronized (group) {
      onRead = action;
    }
  }

  private void read() {
    onRead.run();
    onRead = () -> {};
  }

  /**
   * Returns the software version of the process that the request is sent to; unstated if it is not
   * known yet, or never was.
   */
  public SoftwareVersion software() {
    synchronized (group) {
      return doubt.map(ProcessDoubt::software).orElse(entry.software());
    }
  }

  /** Returns the entry of the process that the request is sent to. */
  public EndpointEntry entry() {
    return entry;
  }

  @Override
  public void verify() {
    synchronized (group) {
      group.verifier.accept(state.entry);
    }
  }

  @Override
  public void connectionLost(long now) {
    synchronized (group) {
      if (entry.startTimeMs() == state.entry.startTimeMs()) {
        state.connectionLost(now);
      }
    }
  }

  /** A connection on which bytes arrive shows that its process has lived all the time. */
  private void lives() {
    boolean isOlder = state.doubt.filter(one -> one.isSentBefore(sentAt)).isPresent();
    if (isOlder && entry.startTimeMs() == state.entry.startTimeMs()) {
      state.processConfirmed();
    }
  }

  /** Returns the limit that the endpoint has named, in requests a second. */
  public OptionalDouble requestsPerS() {
    synchronized (group) {
      return state.permits.limit();
    }
  }

  @Override
  public void begun(long now) {
    synchronized (group) {
      lives();
      if (!begun && !ended) {
        begun = true;
        read();
        state.stalls.streamStarted(now);
        state.own = state.own.minus(new Load(0, load.prefillTokens(), 0, 0));
        sampleReadingSpeed(now);
        generation.ifPresent(
            g -> {
              state.slowdown.sample((double) (now - sentAt), usualMs, now);
              sampleSpeed(now);
            });
      }
    }
  }

  @Override
  public void progress(long now) {
    synchronized (group) {
      lives();
      state.silence.received(now);
      state.stalls.progress(now);
    }
  }

  @Override
  public boolean isStalled(long now) {
    synchronized (group) {
      return state.stalls.isStalled(now);
    }
  }

  @Override
  public void stalled(long now) {
    synchronized (group) {
      if (!stalled && !ended) {
        stalled = true;
        group.health.failed(state.entry.endpoint(), now);
      }
    }
  }

  /** The answer of an earlier process says nothing about the speed of its successor. */
  private void sampleSpeed(long now) {
    if (entry.startTimeMs() == state.entry.startTimeMs()) {
      group.speeds.sample(state.entry, (double) (now - sentAt), usualMs, now);
    }
  }

  /** Samples long prompts only: the time of short ones depends on steps and round trips. */
  private void sampleReadingSpeed(long now) {
    double readingMs = now - sentAt - EndpointGroup.FIRST_TOKEN_MS;
    if (generation.isPresent() && backlog >= 1_000 && readingMs > 0) {
      group.tokensPerMs.sample(backlog / readingMs);
      if (load.prefillTokens() == backlog) {
        group.readingSpeed.sample(backlog, readingMs, group.slowdown(state, now));
      }
    }
  }

  @Override
  public void ended(Ending ending, long now) {
    synchronized (group) {
      if (ended) {
        return;
      }
      ended = true;
      state.silence.ended();
      read();
      if (begun) {
        state.stalls.streamEnded();
      }
      state.own =
          state.own.minus(new Load(1, begun ? 0 : load.prefillTokens(), load.memoryTokens(), 0));
      generation.flatMap(Generation::adapter).ifPresent(this::countEnd);
      EndpointId id = state.entry.endpoint();
      switch (ending) {
        case ANSWERED -> group.health.succeeded(id, now);
        case FAILED -> failed(id, now);
        default -> group.health.withdrawn(id, now);
      }
      if (ending == Ending.ANSWERED) {
        // The time of a call that waits for a slot shows the load, not the speed.
        if (generation.isEmpty() && runningBefore < state.entry.slots()) {
          sampleSpeed(now);
        }
        (generation.isEmpty() ? group.serviceMs : group.generationMs)
            .sample((double) (now - sentAt));
      }
    }
  }

  private void failed(EndpointId id, long now) {
    if (!stalled) {
      group.health.failed(id, now);
    }
  }

  private void countEnd(AdapterName adapter) {
    state.inUse.computeIfPresent(adapter, (name, count) -> count > 1 ? count - 1 : null);
    if (!state.inUse.containsKey(adapter)) {
      group.onIdle.accept(state.entry.dataCentre());
    }
  }

  /** Records that the endpoint rejected the request for want of room. */
  public void rejectedAsFull(long now) {
    synchronized (group) {
      state.room.rejected(now);
    }
  }

  /**
   * Returns whether a rejection as full is a fault of the endpoint: most of its slots were free
   * when the request was sent, and it does not ask for rest.
   */
  public boolean isRejectionFaulty(long now) {
    synchronized (group) {
      return runningBefore < state.entry.slots() / 2 && !state.isResting(now);
    }
  }

  @Override
  public String name() {
    return state.entry.endpoint().value();
  }

  /** Returns the endpoint. */
  public EndpointId endpoint() {
    return state.entry.endpoint();
  }
}
