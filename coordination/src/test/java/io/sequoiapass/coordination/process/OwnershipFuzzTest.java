package io.sequoiapass.coordination.process;

import static org.assertj.core.api.Assertions.assertThatCode;

import java.util.Random;
import java.util.function.BiConsumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomGenerator;
import net.jqwik.api.sessions.JqwikSession;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/**
 * Guards against streams that end early because a former owner unloads their adapter: it was
 * frozen, partitioned or replaced, and still sends orders to an endpoint that another daemon owns.
 * With faults in any order and number, no such order may be sent, and once all faults are healed
 * every endpoint has an owner again. The check uses the platform's current table, which the daemons
 * may not have received yet.
 */
class OwnershipFuzzTest {

  private static final int DAEMONS = 4;
  private static final long RECOVERY_MILLIS = 90_000;

  @Property(tries = 150, seed = "20261202")
  void formerOwnerSendsNoOrders(@ForAll("faults") ActionChain<SimulatedDataCentre> faults) {
    check(faults);
  }

  /** Long run: {@code mvn test -pl coordination -Dsequoiapass.fuzz.chains=5000}. */
  @Test
  @EnabledIfSystemProperty(named = "sequoiapass.fuzz.chains", matches = "\\d+")
  void formerOwnerSendsNoOrdersInManyChains() {
    int count = Integer.getInteger("sequoiapass.fuzz.chains");
    JqwikSession.run(
        () -> {
          RandomGenerator<ActionChain<SimulatedDataCentre>> generator = chains().generator(count);
          for (int seed = 1; seed <= count; seed++) {
            ActionChain<SimulatedDataCentre> faults = generator.next(new Random(seed)).value();
            assertThatCode(() -> check(faults))
                .as("chain %s: %s", seed, faults.transformations())
                .doesNotThrowAnyException();
          }
        });
  }

  static void check(ActionChain<SimulatedDataCentre> faults) {
    SimulatedDataCentre world = faults.withInvariant("safe", SimulatedDataCentre::assertSafe).run();
    world.heal();
    world.run(RECOVERY_MILLIS);
    world.assertSafe();
    world.assertServed();
  }

  @Provide
  Arbitrary<ActionChain<SimulatedDataCentre>> faults() {
    return chains();
  }

  static Arbitrary<ActionChain<SimulatedDataCentre>> chains() {
    Arbitrary<Long> seeds = Arbitraries.longs().between(1, 1_000_000);
    return seeds.flatMap(
        seed ->
            ActionChain.startWith(() -> startedDataCentre(seed))
                .withAction(6, step("run", 100, 9_000, SimulatedDataCentre::run))
                .withAction(2, step("freeze", 0, 3, (w, i) -> w.daemon(i).frozen = true))
                .withAction(2, step("thaw", 0, 3, (w, i) -> w.daemon(i).frozen = false))
                .withAction(1, step("replace", 0, 3, (w, i) -> w.start(w.daemon(i).id)))
                .withAction(1, step("drain", 0, 3, (w, i) -> w.daemon(i).drain()))
                .withAction(2, step("cut off", 0, 3, (w, i) -> w.daemon(i).cutFromPlatform = true))
                .withAction(2, step("cut pair", 0, 15, (w, i) -> w.cut(i / 4, i % 4)))
                .withAction(1, step("heal network", 0, 0, (w, i) -> w.healNetwork()))
                .withAction(2, step("platform out", 0, 1, (w, i) -> w.platform().out = i == 0))
                .withAction(1, step("loss", 0, 40, (w, i) -> w.lossPercent = i))
                .withAction(1, step("stuck", 0, 30, (w, i) -> w.stuckPercent = i))
                .withMaxTransformations(40));
  }

  private static SimulatedDataCentre startedDataCentre(long seed) {
    SimulatedDataCentre world = new SimulatedDataCentre(seed, DAEMONS);
    world.run(15_000);
    return world;
  }

  private static Action.Independent<SimulatedDataCentre> step(
      String name, int from, int to, BiConsumer<SimulatedDataCentre, Integer> change) {
    return () ->
        Combinators.combine(Arbitraries.just(name), Arbitraries.integers().between(from, to))
            .as(
                (text, value) ->
                    Transformer.mutate(text + " " + value, world -> change.accept(world, value)));
  }
}
