package io.sequoiapass.daemon.process.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.RequestId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;

/**
 * Applies random sequences of events and checks each action against an oracle that models the
 * engines' slots. Guards against broken answers: the placement evicts an adapter in use, starts a
 * request twice, or starts it on a load that does not exist or is of another version.
 */
class AdaptivePlacementFuzzTest {

  private static final ModelId MODEL = new ModelId("base-a");
  private static final int SLOTS = 2;
  private static final int STREAMS = 3;
  private static final int ENDPOINTS = 3;

  @Property(tries = 1_000, seed = "4711")
  void respectsEngineConstraints(@ForAll("chains") ActionChain<Oracle> chain) {
    chain.run();
  }

  @Provide
  Arbitrary<ActionChain<Oracle>> chains() {
    return ActionChain.startWith(Oracle::new)
        .withAction(6, event("arrive", Oracle::arrive))
        .withAction(4, event("finish", Oracle::finish))
        .withAction(5, event("load ends", Oracle::endLoad))
        .withAction(1, event("load fails", Oracle::failLoad))
        .withAction(1, event("restart", Oracle::restart))
        .withAction(1, event("take over", Oracle::takeOver))
        .withAction(1, event("leave", Oracle::leave))
        .withAction(1, event("drain", Oracle::drain))
        .withAction(1, event("withdraw", Oracle::withdraw))
        .withAction(1, event("others load", Oracle::othersLoad))
        .withAction(3, event("time", Oracle::advanceTime))
        .withMaxTransformations(120);
  }

  private interface Event {
    void apply(Oracle oracle, int number);
  }

  private static Action.Independent<Oracle> event(String name, Event event) {
    return () ->
        Arbitraries.integers()
            .between(0, 999)
            .map(number -> Transformer.mutate(name + " " + number, o -> event.apply(o, number)));
  }

  /** One slot of an engine. */
  private static final class Slot {
    final AdapterVersion adapter;
    LoadHandle handle;
    final Set<RequestId> running = new HashSet<>();

    Slot(AdapterVersion adapter) {
      this.adapter = adapter;
    }
  }

  /** Model of the engines, and the state of each request. */
  static final class Oracle {
    private final AdaptivePlacement placement =
        new AdaptivePlacement(PlacementSettings.defaults(), PlacementWeights.BATCHES);
    private final Map<EndpointId, List<Slot>> engines = new HashMap<>();
    private final Set<EndpointId> closed = new HashSet<>();
    private final Map<RequestId, AdapterVersion> waiting = new HashMap<>();
    private final Set<RequestId> settled = new HashSet<>();
    private long nowMs;
    private int next;

    void arrive(int number) {
      RequestId id = new RequestId("r" + next++);
      AdapterVersion adapter = AdapterVersion.parse("a" + number % 5 + "@v" + number % 2);
      waiting.put(id, adapter);
      Urgency urgency = number % 3 == 0 ? Urgency.DEADLINE : Urgency.BATCH;
      apply(
          placement.requestArrived(
              nowMs,
              new PlacementRequest(
                  id, adapter, MODEL, urgency, nowMs + 20_000, 10, endpoint(number))));
    }

    void finish(int number) {
      List<Slot> busy = slots().stream().filter(s -> !s.running.isEmpty()).toList();
      if (!busy.isEmpty()) {
        Slot slot = busy.get(number % busy.size());
        RequestId id = slot.running.iterator().next();
        slot.running.remove(id);
        apply(placement.requestFinished(nowMs, id));
      }
    }

    void endLoad(int number) {
      loadEnds(number, true);
    }

    void failLoad(int number) {
      loadEnds(number, false);
    }

    private void loadEnds(int number, boolean success) {
      List<Slot> loading = slots().stream().filter(slot -> slot.handle == null).toList();
      if (loading.isEmpty()) {
        return;
      }
      Slot slot = loading.get(number % loading.size());
      EndpointId id =
          engines.keySet().stream()
              .filter(key -> engines.get(key).contains(slot))
              .findFirst()
              .orElseThrow();
      Optional<LoadHandle> handle =
          success ? Optional.of(new LoadHandle("h" + next++)) : Optional.empty();
      handle.ifPresentOrElse(h -> slot.handle = h, () -> engines.get(id).remove(slot));
      apply(placement.loadFinished(nowMs, new LoadResult(id, slot.adapter, handle)));
    }

    void restart(int number) {
      join(endpoint(number), new ArrayList<>());
    }

    /** Joins the endpoint again with what it holds; a load in progress is lost. */
    void takeOver(int number) {
      List<Slot> kept = new ArrayList<>(engines.getOrDefault(endpoint(number), List.of()));
      kept.removeIf(slot -> slot.handle == null);
      join(endpoint(number), kept);
    }

    private void join(EndpointId id, List<Slot> slots) {
      engines.put(id, slots);
      closed.remove(id);
      List<Resident> residents = new ArrayList<>();
      for (Slot slot : slots) {
        residents.add(new Resident(slot.handle, slot.adapter, List.copyOf(slot.running)));
      }
      apply(
          placement.endpointJoined(
              nowMs, new EndpointStatus(id, MODEL, SLOTS, STREAMS, residents)));
    }

    void leave(int number) {
      engines.remove(endpoint(number));
      apply(placement.endpointLeft(nowMs, endpoint(number)));
    }

    void drain(int number) {
      closed.add(endpoint(number));
      apply(placement.endpointDraining(nowMs, endpoint(number)));
    }

    void withdraw(int number) {
      if (!waiting.isEmpty()) {
        RequestId id = new ArrayList<>(waiting.keySet()).get(number % waiting.size());
        waiting.remove(id);
        settled.add(id);
        apply(placement.requestWithdrawn(nowMs, id));
      }
    }

    void othersLoad(int number) {
      placement.recordOtherLoads(nowMs, number % 4);
    }

    void advanceTime(int number) {
      nowMs += number * 2L;
      apply(placement.tick(nowMs));
    }

    private void apply(List<PlacementAction> actions) {
      for (PlacementAction action : actions) {
        if (action instanceof PlacementAction.Start start) {
          start(start);
        } else if (action instanceof PlacementAction.Load load) {
          load(load);
        } else if (action instanceof PlacementAction.Refuse refuse) {
          assertThat(waiting.remove(refuse.request())).as("refused twice or started").isNotNull();
          assertThat(settled.add(refuse.request())).isTrue();
        }
      }
    }

    private void start(PlacementAction.Start start) {
      assertThat(closed).doesNotContain(start.endpoint());
      assertThat(waiting.remove(start.request())).isEqualTo(start.adapter());
      assertThat(settled.add(start.request())).as("settled once: " + start).isTrue();
      List<Slot> slots = engines.get(start.endpoint());
      Slot slot =
          slots.stream().filter(s -> start.handle().equals(s.handle)).findFirst().orElseThrow();
      assertThat(slot.adapter).isEqualTo(start.adapter());
      assertThat(slots.stream().mapToInt(s -> s.running.size()).sum()).isLessThan(STREAMS);
      slot.running.add(start.request());
    }

    private void load(PlacementAction.Load load) {
      assertThat(closed).doesNotContain(load.endpoint());
      List<Slot> slots = engines.get(load.endpoint());
      load.evict()
          .ifPresent(
              handle -> {
                Slot slot =
                    slots.stream().filter(s -> handle.equals(s.handle)).findFirst().orElseThrow();
                assertThat(slot.running).as("evicts while in use: " + load).isEmpty();
                assertThat(waiting).doesNotContainValue(slot.adapter);
                slots.remove(slot);
              });
      assertThat(slots.size()).isLessThan(SLOTS);
      assertThat(slots).noneMatch(s -> s.adapter.equals(load.adapter()));
      slots.add(new Slot(load.adapter()));
    }

    private List<Slot> slots() {
      return engines.values().stream().flatMap(List::stream).toList();
    }

    private static EndpointId endpoint(int number) {
      return new EndpointId("e" + number % ENDPOINTS);
    }
  }
}
