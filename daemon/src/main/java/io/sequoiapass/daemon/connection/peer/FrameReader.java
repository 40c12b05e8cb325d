package io.sequoiapass.daemon.connection.peer;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.RequestId;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Reads the fields of one frame. Not safe for use by several threads. */
final class FrameReader {

  private final MessageUnpacker in;
  private final int length;

  FrameReader(byte[] frame) {
    this.in = MessagePack.newDefaultUnpacker(frame);
    this.length = frame.length;
  }

  /** Reads one element of a list. */
  @FunctionalInterface
  interface Element<T> {
    T read(FrameReader in) throws IOException, PeerFrameException;
  }

  int number() throws IOException {
    return in.unpackInt();
  }

  long longNumber() throws IOException {
    return in.unpackLong();
  }

  boolean bool() throws IOException {
    return in.unpackBoolean();
  }

  String text() throws IOException {
    return in.unpackString();
  }

  byte[] bytes() throws IOException, PeerFrameException {
    return in.readPayload(checkedLength(in.unpackBinaryHeader()));
  }

  <T> List<T> list(Element<T> element) throws IOException, PeerFrameException {
    int size = checkedLength(in.unpackArrayHeader());
    List<T> elements = new ArrayList<>(size);
    for (int i = 0; i < size; i++) {
      elements.add(element.read(this));
    }
    return elements;
  }

  /** Reads an enum constant by name, since its ordinal may differ between two releases. */
  <E extends Enum<E>> E constant(Class<E> type) throws IOException {
    return Enum.valueOf(type, text());
  }

  PeerMessage.AttemptId attempt() throws IOException {
    return new PeerMessage.AttemptId(new RequestId(text()), number());
  }

  AdapterVersion adapter() throws IOException {
    return AdapterVersion.parse(text());
  }

  /**
   * Checks the declared length of a field before memory is allocated for it. A malformed frame may
   * declare any length, and allocating that much could exhaust the memory. No field is longer than
   * its frame, so the frame's length is a sufficient bound.
   */
  private int checkedLength(int declared) throws PeerFrameException {
    if (declared < 0 || declared > length) {
      throw new PeerFrameException("field of " + declared + " in a frame of " + length + " bytes");
    }
    return declared;
  }

  void expectEnd() throws IOException, PeerFrameException {
    if (in.hasNext()) {
      throw new PeerFrameException("bytes after the end of the frame");
    }
  }
}
