package io.sequoiapass.daemon.connection.peer;

import io.sequoiapass.coordination.EndpointId;
import java.io.IOException;

/** Types of messages with their decoders. The numbers are part of the protocol. */
public enum PeerMessageType {
  /** See {@link PeerMessage.Hello}. */
  HELLO(1, ControlFrames::readHello),
  /** See {@link PeerMessage.Heartbeat}. */
  HEARTBEAT(2, ControlFrames::readHeartbeat),
  /** See {@link PeerMessage.Forward}. */
  FORWARD(3, PeerFrames::readForward),
  /** See {@link PeerMessage.MayStart}. */
  MAY_START(4, in -> new PeerMessage.MayStart(in.attempt())),
  /** See {@link PeerMessage.StartAnswer}. */
  START_ANSWER(5, in -> new PeerMessage.StartAnswer(in.attempt(), in.bool())),
  /** See {@link PeerMessage.Tokens}. */
  TOKENS(6, PeerFrames::readTokens),
  /** See {@link PeerMessage.Finished}. */
  FINISHED(7, PeerFrames::readFinished),
  /** See {@link PeerMessage.ServiceAnswer}. */
  SERVICE_ANSWER(8, PeerFrames::readServiceAnswer),
  /** See {@link PeerMessage.Refused}. */
  REFUSED(9, PeerFrames::readRefused),
  /** See {@link PeerMessage.EndpointLost}. */
  ENDPOINT_LOST(10, in -> new PeerMessage.EndpointLost(in.attempt())),
  /** See {@link PeerMessage.Cancel}. */
  CANCEL(11, in -> new PeerMessage.Cancel(in.attempt())),
  /** See {@link PeerMessage.Flow}. */
  FLOW(12, in -> new PeerMessage.Flow(in.attempt(), in.bool())),
  /** See {@link PeerMessage.ObjectsPush}. */
  OBJECTS_PUSH(13, ControlFrames::readObjectsPush),
  /** See {@link PeerMessage.ObjectsRequest}. */
  OBJECTS_REQUEST(14, in -> new PeerMessage.ObjectsRequest(in.list(FrameReader::longNumber))),
  /** See {@link PeerMessage.TablePush}. */
  TABLE_PUSH(15, TableFrames::readTable),
  /** See {@link PeerMessage.TableRequest}. */
  TABLE_REQUEST(16, in -> new PeerMessage.TableRequest(in.longNumber())),
  /** See {@link PeerMessage.RelayCall}. */
  RELAY_CALL(17, ControlFrames::readRelayCall),
  /** See {@link PeerMessage.RelayAnswer}. */
  RELAY_ANSWER(18, ControlFrames::readRelayAnswer),
  /** See {@link PeerMessage.Started}. */
  STARTED(19, in -> new PeerMessage.Started(in.attempt(), new EndpointId(in.text()))),
  /** See {@link PeerMessage.Ledger}. */
  LEDGER(20, LedgerFrames::read),
  /** See {@link PeerMessage.TableDelta}. */
  TABLE_DELTA(21, TableFrames::readDelta),
  /** See {@link PeerMessage.HostsPush}. */
  HOSTS_PUSH(22, ControlFrames::readHostsPush);

  /** Reads the fields of one frame. */
  @FunctionalInterface
  interface Reader {
    PeerMessage read(FrameReader in) throws IOException, PeerFrameException;
  }

  private static final PeerMessageType[] BY_NUMBER = byNumber();

  private final int number;

  // Readers are references to static methods and hold no state.
  @SuppressWarnings("ImmutableEnumChecker")
  private final Reader reader;

  PeerMessageType(int number, Reader reader) {
    this.number = number;
    this.reader = reader;
  }

  int number() {
    return number;
  }

  PeerMessage read(FrameReader in) throws IOException, PeerFrameException {
    return reader.read(in);
  }

  static PeerMessageType of(int number) throws PeerFrameException {
    if (number <= 0 || number >= BY_NUMBER.length) {
      throw new PeerFrameException("no such frame type: " + number);
    }
    return BY_NUMBER[number];
  }

  private static PeerMessageType[] byNumber() {
    PeerMessageType[] table = new PeerMessageType[values().length + 1];
    for (PeerMessageType type : values()) {
      table[type.number] = type;
    }
    return table;
  }
}
