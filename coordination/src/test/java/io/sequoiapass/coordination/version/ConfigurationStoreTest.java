package io.sequoiapass.coordination.version;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.VersionId;
import io.sequoiapass.coordination.version.ConfigurationObject.AdapterRecord;
import io.sequoiapass.coordination.version.ConfigurationObject.Tombstone;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConfigurationStoreTest {

  private static final ObjectKey NOTES = new ObjectKey(ObjectKind.ADAPTER, "notes");
  private static final long RETENTION = ConfigurationStore.TOMBSTONE_RETENTION_MILLIS;

  private final ConfigurationStore store = ConfigurationStore.create(RETENTION);

  private static AdapterRecord notes(long version) {
    VersionId current = new VersionId("v" + version);
    return new AdapterRecord(
        new AdapterId("notes"), version, new ModelId("base"), current, Set.of(current));
  }

  @Test
  void aSnapshotIsNotModifiedByLaterUpdates() {
    store.apply(0, List.of(notes(1)));
    ConfigurationSnapshot before = store.snapshot();
    store.apply(0, List.of(notes(2)));
    assertThat(before.adapter(new AdapterId("notes"))).contains(notes(1));
    assertThat(store.snapshot().adapter(new AdapterId("notes"))).contains(notes(2));
    assertThat(store.snapshot().revision()).isEqualTo(2);
  }

  @Test
  void onlyNewerObjectsAreReturned() {
    assertThat(store.apply(0, List.of(notes(2), notes(1), notes(2)))).containsExactly(notes(2));
    assertThat(store.apply(0, List.of(notes(2)))).isEmpty();
  }

  /**
   * Guards against the return of a deleted adapter: a daemon that was disconnected for hours pushes
   * its copy after the tombstone was purged here. The copy is rejected, and a listing from the
   * platform is required.
   */
  @Nested
  class DeletedObjects {

    @Test
    void anOlderCopyIsRejectedAfterTheTombstoneIsPurged() {
      store.apply(0, List.of(notes(1), new Tombstone(NOTES, 5)));
      store.tick(RETENTION);
      assertThat(store.versionOf(NOTES)).isZero();
      assertThat(store.apply(RETENTION, List.of(notes(1)))).isEmpty();
      assertThat(store.isListingNeeded()).isTrue();
      store.applyListing(RETENTION, 9, EnumSet.of(ObjectKind.ADAPTER), List.of(notes(1)));
      assertThat(store.find(NOTES)).contains(notes(1));
      assertThat(store.isListingNeeded()).isFalse();
    }

    @Test
    void purgingTombstonesKeepsTheDigest() {
      store.apply(0, List.of(notes(1), new Tombstone(NOTES, 5)));
      ConfigurationDigest before = store.digest();
      store.tick(RETENTION);
      assertThat(store.digest()).isEqualTo(before);
    }

    @Test
    void aListingDeletesMissingObjects() {
      store.apply(0, List.of(notes(3)));
      store.applyListing(0, 2, EnumSet.of(ObjectKind.ADAPTER), List.of());
      assertThat(store.find(NOTES)).as("newer than the listing").isPresent();
      store.applyListing(0, 4, EnumSet.of(ObjectKind.ADAPTER), List.of());
      assertThat(store.find(NOTES)).isEmpty();
    }
  }

  /**
   * Guards against answers from an outdated version: a daemon starts during a platform outage and
   * has received the state of only one peer, which was behind.
   */
  @Nested
  class ColdStartDuringAnOutage {

    private final DaemonId near = new DaemonId("near");
    private final DaemonId far = new DaemonId("far");
    private final ColdStart start = ColdStart.create(0, 5_000);

    @Test
    void aDaemonIsReadyOnlyAfterEveryLivePeerAnswered() {
      start.peerAnswered(near, true);
      assertThat(start.isReady(100, Set.of(near, far))).isFalse();
      start.peerAnswered(far, false);
      assertThat(start.isReady(200, Set.of(near, far))).isTrue();
    }

    @Test
    void theWaitForAPeerThatDoesNotAnswerIsBounded() {
      start.peerAnswered(near, true);
      assertThat(start.isReady(5_000, Set.of(near, far))).isTrue();
    }

    @Test
    void answersOfPeersThatAreNotReadyDoNotMakeADaemonReady() {
      start.peerAnswered(near, false);
      start.peerAnswered(far, false);
      assertThat(start.isReady(60_000, Set.of(near, far))).isFalse();
      start.platformListed();
      assertThat(start.isReady(60_000, Set.of(near, far))).isTrue();
    }
  }

  @Test
  void findIgnoresDeletedObjects() {
    store.apply(0, List.of(new Tombstone(NOTES, 5)));
    assertThat(store.find(NOTES)).isEqualTo(Optional.empty());
  }
}
