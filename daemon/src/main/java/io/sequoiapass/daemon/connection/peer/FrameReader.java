package io.sequoiapass.daemon.connection.peer;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.RequestId;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Reads the fields of one frame; not safe for use by several threads. */
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
    return in.readPayload(checked(in.unpackBinaryHeader()));
  }

  <T> List<T> list(Element<T> element) throws IOException, PeerFrameException {
    int size = checked(in.unpackArrayHeader());
    List<T> elements = new ArrayList<>(size);
    for (int i = 0; i < size; i++) {
      elements.add(element.read(this));
    }
    return elements;
  }

  /** Reads a constant by its name: its place in the enum may differ between two releases. */
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
   * A frame may claim a length that it does not have. Allocating it would let one bad frame take
   * all memory; no field is longer than its frame, so that bound is enough.
   */
  private int checked(int claimed) throws PeerFrameException {
    if (claimed < 0 || claimed > length) {
      throw new PeerFrameException("field of " + claimed + " in a frame of " + length + " bytes");
    }
    return claimed;
  }

  void expectEnd() throws IOException, PeerFrameException {
    if (in.hasNext()) {
      throw new PeerFrameException("bytes after the end of the frame");
    }
  }
}
