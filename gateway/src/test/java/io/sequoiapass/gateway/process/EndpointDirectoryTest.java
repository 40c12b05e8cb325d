package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.spi.StoreChanges;
import io.sequoiapass.gateway.spi.StoreList;
import io.sequoiapass.gateway.spi.Stored;
import io.sequoiapass.gateway.version.AdapterVersions;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EndpointDirectoryTest {

  private static final DataCentreId NORTH = new DataCentreId("north");
  private static final EndpointId ENDPOINT = new EndpointId("e1");

  private final EndpointDirectory directory =
      new EndpointDirectory(NORTH, new AdapterVersions(2_500), () -> 1_000, DecisionLog.silent());

  private static EndpointEntry entry(boolean leaving) {
    return new EndpointEntry(
        ENDPOINT,
        new ServiceId("notes"),
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 9000),
        NORTH,
        96,
        leaving,
        1,
        SoftwareVersion.UNSTATED,
        List.of());
  }

  private static Stored<EndpointEntry> stored(boolean leaving, long revision) {
    return new Stored<>("e1", revision, Optional.of(entry(leaving)), "");
  }

  private static LinkMessage.Endpoints update(boolean leaving, long revision) {
    return new LinkMessage.Endpoints(
        false,
        revision,
        List.of(new LinkMessage.ListedEndpoint(entry(leaving), revision)),
        List.of());
  }

  private static LinkMessage.Endpoints removal(long revision) {
    return new LinkMessage.Endpoints(
        false, revision, List.of(), List.of(new LinkMessage.GoneEndpoint(ENDPOINT, revision, 0)));
  }

  private boolean replaced(StoreList<EndpointEntry> list) {
    boolean changed = false;
    for (Stored<EndpointEntry> item : list.items()) {
      changed |= directory.present(item);
    }
    changed |= directory.listed(list, false);
    directory.upTo(list.revision());
    return changed;
  }

  private boolean changed(StoreChanges.Change<EndpointEntry> change, long revision) {
    boolean changed =
        change.removed()
            ? directory.removed(change.object(), false)
            : directory.present(change.object());
    directory.upTo(revision);
    return changed;
  }

  private List<EndpointEntry> serving() {
    return directory.group(new ServiceId("notes")).entries(1_000);
  }

  @Nested
  class ReportedChange {

    @Test
    void isFalseForHeartbeats() {
      assertThat(replaced(new StoreList<>(5, List.of(stored(false, 4))))).isTrue();
      assertThat(changed(new StoreChanges.Change<>(stored(false, 9), false), 9)).isFalse();
      assertThat(changed(new StoreChanges.Change<>(stored(true, 12), false), 12)).isTrue();
    }
  }

  /** Guards against entries of other writers that hide or replace those of endpoints. */
  @Nested
  class EntryOfAnotherWriter {

    private Stored<EndpointEntry> foreign(String name, long revision) {
      return new Stored<>(name, revision, Optional.empty(), "not an endpoint");
    }

    @Test
    void mayHaveAnyName() {
      replaced(new StoreList<>(5, List.of(stored(false, 4))));
      for (String name : List.of("rack 7", "gestell-ä", "x".repeat(201), "", " ")) {
        changed(new StoreChanges.Change<>(foreign(name, 6), false), 6);
        assertThat(changed(new StoreChanges.Change<>(foreign(name, 6), true), 7)).isFalse();
      }

      assertThat(serving()).hasSize(1);
    }

    @Test
    void namesNoEndpointIfItReplacesTheEntryOfOne() {
      replaced(new StoreList<>(5, List.of(stored(false, 4))));
      assertThat(changed(new StoreChanges.Change<>(foreign("e1", 6), false), 6)).isTrue();
      assertThat(serving()).isEmpty();

      changed(new StoreChanges.Change<>(stored(false, 8), false), 8);
      assertThat(serving()).hasSize(1);
    }
  }

  /** Guards against a daemon that is ready although it knows only the changes of a list. */
  @Nested
  class ListOfACoordinator {

    @Test
    void isCompleteOnlyAsASnapshot() {
      directory.applyUpdate(update(false, 4));
      assertThat(directory.isListed()).isFalse();

      directory.applyUpdate(
          new LinkMessage.Endpoints(
              true, 5, List.of(new LinkMessage.ListedEndpoint(entry(false), 4)), List.of()));
      assertThat(directory.isListed()).isTrue();
    }
  }

  /** Guards against links that each send the whole list to a daemon that knows it already. */
  @Nested
  class EntriesForAnotherDaemon {

    @Test
    void areAllForADaemonWithoutAList() {
      replaced(new StoreList<>(5, List.of(stored(false, 4))));

      LinkMessage.Endpoints entries = directory.entriesSince(EndpointDirectory.UNLISTED);
      assertThat(entries.snapshot()).isTrue();
      assertThat(entries.entries()).hasSize(1);
      assertThat(directory.entriesSince(3).snapshot()).as("history starts at 5").isTrue();
    }

    @Test
    void areChangesForADaemonWithAList() {
      replaced(new StoreList<>(5, List.of(stored(false, 4))));
      assertThat(directory.entriesSince(5).entries()).isEmpty();

      directory.applyUpdate(update(true, 9));
      assertThat(directory.entriesSince(5).snapshot()).isFalse();
      assertThat(directory.entriesSince(5).entries()).hasSize(1);
      assertThat(directory.entriesSince(9).entries()).isEmpty();

      directory.applyUpdate(removal(9));
      assertThat(directory.entriesSince(9).gone()).hasSize(1);
    }
  }

  /**
   * Guards against the removal of a live endpoint after an outage of the store. Its entry expires,
   * and the endpoint writes it again; one response of the store contains both changes. Without the
   * endpoint, its capacity would stay unused until the next heartbeat.
   */
  @Nested
  class ExpiredAndRewrittenEntry {

    @Test
    void endpointStaysInUse() {
      replaced(new StoreList<>(5, List.of(stored(false, 4))));
      changed(new StoreChanges.Change<>(stored(false, 4), true), 20);
      changed(new StoreChanges.Change<>(stored(false, 15), false), 20);

      assertThat(serving()).hasSize(1);
    }

    @Test
    void endpointStaysInUseIfACoordinatorRelaysTheChanges() {
      directory.applyUpdate(update(false, 4));
      directory.applyUpdate(
          new LinkMessage.Endpoints(
              false,
              20,
              List.of(new LinkMessage.ListedEndpoint(entry(false), 15)),
              List.of(new LinkMessage.GoneEndpoint(ENDPOINT, 4, 0))));

      assertThat(serving()).hasSize(1);
    }
  }

  /**
   * Guards against an older entry that overwrites a newer one. Coordinators and the store report
   * the same changes, and a message of a coordinator may be late. The daemon would send requests to
   * an endpoint that is leaving or removed, and they would be cut off.
   */
  @Nested
  class OutOfOrderUpdates {

    @Test
    void olderEntryChangesNothing() {
      directory.applyUpdate(update(true, 20));
      directory.applyUpdate(update(false, 15));

      assertThat(serving()).isEmpty();
    }

    @Test
    void entryOlderThanTheRemovalChangesNothing() {
      directory.applyUpdate(update(false, 20));
      directory.applyUpdate(removal(30));
      directory.applyUpdate(update(false, 25));

      assertThat(serving()).isEmpty();
    }

    @Test
    void removalOfAnOlderEntryKeepsTheNewerOne() {
      directory.applyUpdate(update(false, 40));
      directory.applyUpdate(removal(30));

      assertThat(serving()).hasSize(1);
    }

    @Test
    void olderListOfTheStoreKeepsANewerRelayedEntry() {
      directory.applyUpdate(update(false, 40));
      replaced(new StoreList<>(35, List.of()));
      assertThat(serving()).hasSize(1);

      replaced(new StoreList<>(45, List.of()));
      assertThat(serving()).isEmpty();
    }

    @Test
    void completeListOfACoordinatorRemovesMissingEntries() {
      directory.applyUpdate(update(false, 20));
      directory.applyUpdate(new LinkMessage.Endpoints(true, 30, List.of(), List.of()));

      assertThat(serving()).isEmpty();
    }
  }
}
