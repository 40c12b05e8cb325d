package io.sequoiapass.coordination.version;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.HostId;
import io.sequoiapass.coordination.process.HostHint;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Readings by two readers, and delivery of their hints in any order and with duplicates; all
 * daemons must converge.
 */
class HostListMonitorFuzzTest {

  private static final HostId H1 = new HostId("h1");
  private static final HostId H2 = new HostId("h2");
  private static final Set<HostId> IN_USE = Set.of(H1, H2);

  private static HostListMonitor monitor(String name) {
    return HostListMonitor.create(new DaemonId(name));
  }

  private static HostReport report(HostId host, HostHint hint) {
    return new HostReport(host, hint, Set.of());
  }

  @Provide
  Arbitrary<List<Integer>> steps() {
    return Arbitraries.integers().between(0, 5).list().ofMinSize(1).ofMaxSize(60);
  }

  @Property(tries = 500, seed = "4711")
  void daemonsThatReceivedAllHintsHoldTheSameHints(@ForAll("steps") List<Integer> steps) {
    List<HostListMonitor> readers = List.of(monitor("d1"), monitor("d2"));
    HostListMonitor third = monitor("d3");
    List<HostHints> sent = new ArrayList<>();
    long now = 0;
    for (int step : steps) {
      now += 700;
      HostReport report = report(H1, step % 2 == 0 ? HostHint.LIVE : HostHint.LEAVING);
      HostListMonitor reader = readers.get(step / 3);
      reader.read(now, List.of(report, report(H2, HostHint.LIVE)), IN_USE).ifPresent(sent::add);
      long before = third.hints().version();
      if (!sent.isEmpty()) {
        third.received(sent.get((int) (now % sent.size())));
      }
      assertThat(third.hints().version()).isGreaterThanOrEqualTo(before);
    }
    for (HostHints hints : sent) {
      readers.forEach(reader -> reader.received(hints));
      third.received(hints);
    }
    assertThat(readers).allMatch(reader -> reader.hints().equals(third.hints()));
  }
}
