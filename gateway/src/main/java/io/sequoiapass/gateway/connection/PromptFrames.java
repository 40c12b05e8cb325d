package io.sequoiapass.gateway.connection;

import io.sequoiapass.coordination.EndpointId;
import java.io.IOException;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes messages about turns of prompts in a frame. The methods are pure. */
final class PromptFrames {

  private PromptFrames() {}

  static void write(MessageBufferPacker out, RoomMessage.PromptRequest request) throws IOException {
    out.packLong(request.id());
    out.packBoolean(request.adapter().isPresent());
    if (request.adapter().isPresent()) {
      LinkFrames.writeAdapter(out, request.adapter().get());
    }
    LinkFrames.writeFlow(out, request.flow());
    out.packLong(request.gapMs());
    out.packLong(request.inTimeMs());
    LinkFrames.list(out, request.options(), PromptFrames::write);
  }

  static RoomMessage.PromptRequest readRequest(MessageUnpacker in) throws IOException {
    return new RoomMessage.PromptRequest(
        in.unpackLong(),
        in.unpackBoolean() ? Optional.of(LinkFrames.readAdapter(in)) : Optional.empty(),
        LinkFrames.readFlow(in),
        in.unpackLong(),
        in.unpackLong(),
        LinkFrames.list(in, PromptFrames::readOption));
  }

  private static void write(MessageBufferPacker out, RoomMessage.PromptOption option)
      throws IOException {
    out.packString(option.endpoint().value());
    out.packLong(option.tokens());
  }

  private static RoomMessage.PromptOption readOption(MessageUnpacker in) throws IOException {
    return new RoomMessage.PromptOption(new EndpointId(in.unpackString()), in.unpackLong());
  }

  static void write(MessageBufferPacker out, RoomMessage.PromptSent sent) throws IOException {
    out.packLong(sent.id());
    write(out, sent.engine());
  }

  static RoomMessage.PromptSent readSent(MessageUnpacker in) throws IOException {
    return new RoomMessage.PromptSent(in.unpackLong(), readOption(in));
  }

  static void write(MessageBufferPacker out, RoomMessage.PromptTurn turn) throws IOException {
    out.packLong(turn.id());
    out.packString(turn.endpoint().value());
    out.packLong(turn.delayMs());
  }

  static RoomMessage.PromptTurn readTurn(MessageUnpacker in) throws IOException {
    return new RoomMessage.PromptTurn(
        in.unpackLong(), new EndpointId(in.unpackString()), in.unpackLong());
  }
}
