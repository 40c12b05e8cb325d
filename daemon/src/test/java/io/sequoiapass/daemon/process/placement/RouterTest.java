package io.sequoiapass.daemon.process.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RouterTest {

  private static final AdapterVersion NOTES = AdapterVersion.parse("notes@v1");
  private static final long MAX_AGE_MS = 2_000;
  private final Router router = new Router(MAX_AGE_MS, 0);

  @Test
  void lostEndpointMovesOnlyItsAdapters() {
    List<Router.Candidate> all = candidates(8);
    List<Router.Candidate> fewer = all.subList(0, 7);
    for (int i = 0; i < 500; i++) {
      AdapterVersion adapter = AdapterVersion.parse("a" + i + "@v1");
      EndpointId before = router.rank(adapter, 1, false, all).get(0);
      EndpointId after = router.rank(adapter, 1, false, fewer).get(0);
      if (!before.equals(all.get(7).endpoint())) {
        assertThat(after).isEqualTo(before);
      }
    }
  }

  @Test
  void adaptersAreDistributedByWeight() {
    List<Router.Candidate> weighted =
        List.of(candidate("e0", 1, null, 0), candidate("e1", 3, null, 0));
    Map<EndpointId, Integer> counts = new HashMap<>();
    for (int i = 0; i < 4_000; i++) {
      AdapterVersion adapter = AdapterVersion.parse("a" + i + "@v1");
      counts.merge(router.rank(adapter, 1, false, weighted).get(0), 1, Integer::sum);
    }

    assertThat(counts.get(new EndpointId("e1"))).isBetween(2_850, 3_150);
  }

  @Test
  void fullEndpointRanksLastUnlessHintIsStale() {
    EndpointId first = router.rank(NOTES, 1, false, candidates(3)).get(0);

    assertThat(router.rank(NOTES, 1, false, withFull(first, MAX_AGE_MS))).last().isEqualTo(first);
    assertThat(router.rank(NOTES, 1, false, withFull(first, MAX_AGE_MS + 1)))
        .first()
        .isEqualTo(first);
  }

  @Test
  void endpointThatHoldsAdapterRanksFirst() {
    EndpointId last = router.rank(NOTES, 1, false, candidates(3)).get(2);
    List<Router.Candidate> candidates = new ArrayList<>(candidates(3));
    candidates.replaceAll(
        c -> c.endpoint().equals(last) ? candidate(last.value(), 1, load(last, 0, NOTES), 0) : c);

    assertThat(router.rank(NOTES, 1, false, candidates)).first().isEqualTo(last);
  }

  @Test
  void missingAdapterRanksLowestPriceFirst() {
    List<Router.Candidate> priced = priced(candidates(3), 300, 20, 100);

    assertThat(router.rank(NOTES, 1, false, priced)).first().isEqualTo(priced.get(1).endpoint());
  }

  @Test
  void missingAdapterKeepsHashOrderWhileFewPricesAreKnown() {
    List<Router.Candidate> all = candidates(3);
    List<Router.Candidate> one = new ArrayList<>(all);
    one.set(2, priced(all, 1, 1, 1).get(2));

    assertThat(router.rank(NOTES, 1, false, one)).isEqualTo(router.rank(NOTES, 1, false, all));
  }

  @Test
  void hotAndOtherAdaptersUseSeparateEndpoints() {
    Router dense = new Router(MAX_AGE_MS, 0.25);
    Set<EndpointId> hot = firsts(dense, true);
    Set<EndpointId> others = firsts(dense, false);

    assertThat(hot).hasSize(2);
    assertThat(others).hasSize(6).doesNotContainAnyElementsOf(hot);
  }

  private static Set<EndpointId> firsts(Router router, boolean hot) {
    Set<EndpointId> firsts = new java.util.HashSet<>();
    for (int i = 0; i < 500; i++) {
      AdapterVersion adapter = AdapterVersion.parse("a" + i + "@v1");
      firsts.add(router.rank(adapter, 1, hot, candidates(8)).get(0));
    }
    return firsts;
  }

  private static List<Router.Candidate> priced(List<Router.Candidate> all, int... prices) {
    List<Router.Candidate> priced = new ArrayList<>();
    for (int i = 0; i < prices.length; i++) {
      EndpointId id = all.get(i).endpoint();
      EndpointLoad load = new EndpointLoad(id, 0, 0, 4, Set.of(), Set.of(), prices[i]);
      priced.add(candidate(id.value(), 1, load, 0));
    }
    return priced;
  }

  private static List<Router.Candidate> withFull(EndpointId full, long ageMs) {
    List<Router.Candidate> candidates = new ArrayList<>(candidates(3));
    candidates.replaceAll(
        c -> c.endpoint().equals(full) ? candidate(full.value(), 1, load(full, 4), ageMs) : c);
    return candidates;
  }

  private static List<Router.Candidate> candidates(int count) {
    List<Router.Candidate> candidates = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      candidates.add(candidate("e" + i, 1, null, 0));
    }
    return candidates;
  }

  private static Router.Candidate candidate(
      String id, double weight, EndpointLoad load, long ageMs) {
    return new Router.Candidate(new EndpointId(id), weight, Optional.ofNullable(load), ageMs);
  }

  private static EndpointLoad load(EndpointId id, int streams, AdapterVersion... adapters) {
    return new EndpointLoad(id, streams, 0, 4, Set.of(adapters), Set.of(), 0);
  }
}
