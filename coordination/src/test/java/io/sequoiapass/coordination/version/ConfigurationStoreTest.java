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
  private static final long FORGOTTEN = ConfigurationStore.TOMBSTONE_MILLIS;

  private final ConfigurationStore store = ConfigurationStore.create(FORGOTTEN);

  private static AdapterRecord notes(long version) {
    VersionId current = new VersionId("v" + version);
    return new AdapterRecord(
        new AdapterId("notes"), version, new ModelId("base"), current, Set.of(current));
  }

  @Test
  void aSnapshotStaysAsItWas() {
    store.apply(0, List.of(notes(1)));
    ConfigurationSnapshot before = store.snapshot();
    store.apply(0, List.of(notes(2)));
    assertThat(before.adapter(new AdapterId("notes"))).contains(notes(1));
    assertThat(store.snapshot().adapter(new AdapterId("notes"))).contains(notes(2));
    assertThat(store.snapshot().revision()).isEqualTo(2);
  }

  @Test
  void onlyWhatIsNewerIsPassedOn() {
    assertThat(store.apply(0, List.of(notes(2), notes(1), notes(2)))).containsExactly(notes(2));
    assertThat(store.apply(0, List.of(notes(2)))).isEmpty();
  }

  /**
   * An adapter that was deleted answers again: a daemon that was cut off for hours pushes its copy
   * after the deletion was forgotten here. The copy is refused, and the platform is asked.
   */
  @Nested
  class DeletedObjects {

    @Test
    void anOlderCopyIsRefusedAfterTheDeletionIsForgotten() {
      store.apply(0, List.of(notes(1), new Tombstone(NOTES, 5)));
      store.tick(FORGOTTEN);
      assertThat(store.versionOf(NOTES)).isZero();
      assertThat(store.apply(FORGOTTEN, List.of(notes(1)))).isEmpty();
      assertThat(store.isListingNeeded()).isTrue();
      store.applyListing(FORGOTTEN, 9, EnumSet.of(ObjectKind.ADAPTER), List.of(notes(1)));
      assertThat(store.find(NOTES)).contains(notes(1));
      assertThat(store.isListingNeeded()).isFalse();
    }

    @Test
    void forgettingLeavesTheDigestAsItWas() {
      store.apply(0, List.of(notes(1), new Tombstone(NOTES, 5)));
      ConfigurationDigest before = store.digest();
      store.tick(FORGOTTEN);
      assertThat(store.digest()).isEqualTo(before);
    }

    @Test
    void aListingDeletesWhatItLacks() {
      store.apply(0, List.of(notes(3)));
      store.applyListing(0, 2, EnumSet.of(ObjectKind.ADAPTER), List.of());
      assertThat(store.find(NOTES)).as("newer than the listing").isPresent();
      store.applyListing(0, 4, EnumSet.of(ObjectKind.ADAPTER), List.of());
      assertThat(store.find(NOTES)).isEmpty();
    }
  }

  /**
   * A caller is answered from an older version by a daemon that started during an outage of the
   * platform and had asked only one peer, which was behind.
   */
  @Nested
  class ColdStartDuringAnOutage {

    private final DaemonId near = new DaemonId("near");
    private final DaemonId far = new DaemonId("far");
    private final ColdStart start = ColdStart.create(0, 5_000);

    @Test
    void everyPeerThatIsHeardIsAskedFirst() {
      start.peerAnswered(near, true);
      assertThat(start.isReady(100, Set.of(near, far))).isFalse();
      start.peerAnswered(far, false);
      assertThat(start.isReady(200, Set.of(near, far))).isTrue();
    }

    @Test
    void aPeerThatDoesNotAnswerIsWaitedForOnlySoLong() {
      start.peerAnswered(near, true);
      assertThat(start.isReady(5_000, Set.of(near, far))).isTrue();
    }

    @Test
    void peersThatAreNotReadyMakeNobodyReady() {
      start.peerAnswered(near, false);
      start.peerAnswered(far, false);
      assertThat(start.isReady(60_000, Set.of(near, far))).isFalse();
      start.platformListed();
      assertThat(start.isReady(60_000, Set.of(near, far))).isTrue();
    }
  }

  @Test
  void findPassesOverDeletedObjects() {
    store.apply(0, List.of(new Tombstone(NOTES, 5)));
    assertThat(store.find(NOTES)).isEqualTo(Optional.empty());
  }
}
