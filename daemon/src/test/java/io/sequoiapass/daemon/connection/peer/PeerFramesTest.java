package io.sequoiapass.daemon.connection.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.HostId;
import io.sequoiapass.coordination.IdempotencyKey;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.OperationId;
import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.coordination.process.HostHint;
import io.sequoiapass.coordination.process.OwnershipDelta;
import io.sequoiapass.coordination.process.OwnershipTable;
import io.sequoiapass.coordination.process.PlatformReport;
import io.sequoiapass.coordination.request.AttemptAction.Mode;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.request.LedgerMember;
import io.sequoiapass.coordination.request.LedgerMessage;
import io.sequoiapass.coordination.request.LedgerRecord;
import io.sequoiapass.coordination.request.LedgerState;
import io.sequoiapass.coordination.request.OutcomeClass;
import io.sequoiapass.coordination.request.Priority;
import io.sequoiapass.coordination.version.HostHints;
import io.sequoiapass.coordination.version.HostReport;
import io.sequoiapass.daemon.connection.peer.PeerMessage.AttemptId;
import io.sequoiapass.daemon.process.placement.EndpointLoad;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class PeerFramesTest {

  private static final AttemptId ID = new AttemptId(new RequestId("r~d1.1"), 2);
  private static final AdapterVersion ADAPTER = AdapterVersion.parse("notes@v7");

  private static final IdempotencyKey KEY = new IdempotencyKey("slip-17");
  private static final LedgerMember MEMBER = new LedgerMember(new DaemonId("d1"), 7);
  private static final LedgerRecord.Holder HOLDER =
      new LedgerRecord.Holder(MEMBER, new OperationId("r~d1.1"));
  private static final LedgerRecord.Holder OTHER_HOLDER =
      new LedgerRecord.Holder(MEMBER, new OperationId("r~d1.2"));
  private static final LedgerRecord RECORD =
      new LedgerRecord(KEY, "digest", HOLDER, LedgerState.STARTED, 3, 500);

  private static final PeerMessage HOSTS =
      new PeerMessage.HostsPush(
          HostHints.of(
              3,
              new DaemonId("d1"),
              List.of(
                  new HostReport(
                      new HostId("h2"), HostHint.LEAVING, Set.of(new EndpointId("e1"))))));

  private static PeerMessage ledger(LedgerMessage message) {
    return new PeerMessage.Ledger(message);
  }

  private static PeerMessage tablePush() {
    return new PeerMessage.TablePush(
        new DataCentreId("yard-north"),
        OwnershipTable.of(
            9,
            2,
            Map.of(new EndpointId("e1"), new DaemonId("d1")),
            Map.of(new DaemonId("d1"), 7L)));
  }

  private static PeerMessage tableDelta() {
    DaemonId gaining = new DaemonId("d3");
    return new PeerMessage.TableDelta(
        new DataCentreId("yard-north"),
        new OwnershipDelta(
            9,
            11,
            3,
            Map.of(new EndpointId("e1"), new DaemonId("d2"), new EndpointId("e2"), gaining),
            Set.of(new EndpointId("e4")),
            Map.of(gaining, 7L, new DaemonId("d4"), 8L)));
  }

  static List<PeerMessage> messages() {
    return List.of(
        new PeerMessage.Hello(
            new DaemonId("d1"), new DataCentreId("yard-north"), new HostId("h1"), 7),
        HOSTS,
        new PeerMessage.Forward(
            ID,
            new EndpointId("e1"),
            new ForwardedWork.Completion(
                ADAPTER, new ModelId("base"), Priority.DEADLINE, "prompt ñ", 9, 3),
            Mode.ATTACH_OR_RUN,
            450,
            true),
        new PeerMessage.MayStart(ID),
        new PeerMessage.StartAnswer(ID, true),
        new PeerMessage.Tokens(ID, ADAPTER, 5, List.of("a", "b")),
        new PeerMessage.Started(ID, new EndpointId("e2")),
        new PeerMessage.Finished(
            ID,
            ADAPTER,
            7,
            12,
            List.of(
                new EndpointLoad(
                    new EndpointId("e1"), 1, 2, 16, Set.of(ADAPTER), Set.of(ADAPTER), 250))),
        new PeerMessage.Heartbeat(7, true, -3, new PlatformReport(true, 5, 6, 7), 8, 9, true),
        tablePush(),
        tableDelta(),
        new PeerMessage.TableRequest(4),
        new PeerMessage.RelayCall(1, "lease/d1/7/1", 3, "{}"),
        new PeerMessage.RelayAnswer(1, PeerMessage.RelayResult.CONFLICT, 3, "o", ""),
        new PeerMessage.Refused(ID, ErrorKind.QUEUE_FULL, true, 250),
        new PeerMessage.EndpointLost(ID),
        ledger(new LedgerMessage.Reserve(KEY, "digest", HOLDER)),
        ledger(new LedgerMessage.MarkStart(KEY, HOLDER)),
        ledger(new LedgerMessage.Finish(KEY, HOLDER, OutcomeClass.UNKNOWN)),
        ledger(
            new LedgerMessage.Answer(
                KEY, HOLDER, LedgerMessage.Step.RESERVE, Optional.of(ErrorKind.KEY_REUSED))),
        ledger(new LedgerMessage.Answer(KEY, HOLDER, LedgerMessage.Step.FINISH, Optional.empty())),
        ledger(new LedgerMessage.QueryHolder(KEY, HOLDER, OTHER_HOLDER)),
        ledger(new LedgerMessage.StillOpen(KEY, HOLDER, OTHER_HOLDER)),
        ledger(new LedgerMessage.Copy(RECORD)),
        ledger(new LedgerMessage.Copied(MEMBER, KEY, 4)),
        ledger(new LedgerMessage.RequestRecords(MEMBER, 12)),
        ledger(
            new LedgerMessage.Records(
                MEMBER,
                12,
                List.of(RECORD),
                List.of(new LedgerMessage.Loss(Set.of(MEMBER), Set.of(MEMBER), 900)),
                true)),
        new PeerMessage.Cancel(ID),
        new PeerMessage.Flow(ID, true),
        new PeerMessage.ObjectsPush(List.of("{}"), true, false, List.of(new DaemonId("d2"))),
        new PeerMessage.ObjectsRequest(List.of(1L, -1L)));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void decodesEncodedMessages(PeerMessage message) throws PeerFrameException {
    assertThat(PeerFrames.decode(PeerFrames.encode(message))).isEqualTo(message);
  }

  @Test
  void preservesTheBodyOfServiceAnswers() throws PeerFrameException {
    byte[] body = {0, -1, 7};
    PeerMessage.ServiceAnswer read =
        (PeerMessage.ServiceAnswer)
            PeerFrames.decode(
                PeerFrames.encode(new PeerMessage.ServiceAnswer(ID, 200, "text/plain", body)));
    assertThat(read.body()).isEqualTo(body);
  }

  /**
   * A peer of another release, or an unrelated client, sends bytes that are not a frame. Decoding
   * must fail with PeerFrameException, so that the connection is closed with a clear error; it must
   * neither throw anything else nor allocate a large amount of memory.
   */
  @Nested
  class MalformedFrames {

    @ParameterizedTest
    @MethodSource("io.sequoiapass.daemon.connection.peer.PeerFramesTest#messages")
    void rejectsEveryTruncatedFrame(PeerMessage message) {
      byte[] frame = PeerFrames.encode(message);
      for (int length = 0; length < frame.length; length++) {
        byte[] cut = Arrays.copyOf(frame, length);
        assertThatThrownBy(() -> PeerFrames.decode(cut)).isInstanceOf(PeerFrameException.class);
      }
    }

    @ParameterizedTest
    @MethodSource("io.sequoiapass.daemon.connection.peer.PeerFramesTest#messages")
    void rejectsTrailingBytes(PeerMessage message) {
      byte[] frame = PeerFrames.encode(message);
      byte[] longer = Arrays.copyOf(frame, frame.length + 1);
      assertThatThrownBy(() -> PeerFrames.decode(longer)).isInstanceOf(PeerFrameException.class);
    }

    @Property(tries = 2_000, seed = "7")
    void decodingArbitraryBytesThrowsOnlyPeerFrameException(@ForAll @Size(max = 64) byte[] bytes) {
      try {
        PeerFrames.decode(bytes);
      } catch (PeerFrameException expected) {
        assertThat(expected).hasMessageNotContaining("null pointer");
      }
    }
  }
}
