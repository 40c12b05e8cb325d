package io.sequoiapass.daemon.connection.peer;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.request.AttemptAction;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.request.Priority;
import io.sequoiapass.daemon.process.placement.EndpointLoad;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;

/**
 * Encodes messages as frames and decodes them.
 *
 * <pre>{@code
 * byte[] frame = PeerFrames.encode(new PeerMessage.Cancel(id));
 * PeerMessage message = PeerFrames.decode(frame);
 * }</pre>
 *
 * <p>A frame consists of the number of its type and the fields in the order of the record. Safe for
 * use by several threads.
 */
public final class PeerFrames {

  /**
   * Initial buffer of a packer. Most frames carry a token, and the library would allocate 8 KB
   * each.
   */
  private static final int INITIAL_BUFFER_BYTES = 256;

  private static final MessagePack.PackerConfig PACKER_CONFIG =
      new MessagePack.PackerConfig().withBufferSize(INITIAL_BUFFER_BYTES);

  private static final int COMPLETION = 0;
  private static final int SERVICE_CALL = 1;

  private PeerFrames() {}

  /**
   * Encodes a message as a frame.
   *
   * @param message the message
   */
  public static byte[] encode(PeerMessage message) {
    try (MessageBufferPacker out = PACKER_CONFIG.newBufferPacker()) {
      out.packInt(message.type().number());
      write(out, message);
      return out.toByteArray();
    } catch (IOException impossible) {
      throw new UncheckedIOException("a buffer in memory cannot fail", impossible);
    }
  }

  /**
   * Decodes a frame.
   *
   * @param frame the bytes
   * @throws PeerFrameException if they are not a frame of the protocol
   */
  public static PeerMessage decode(byte[] frame) throws PeerFrameException {
    FrameReader in = new FrameReader(frame);
    try {
      PeerMessage message = PeerMessageType.of(in.number()).read(in);
      in.expectEnd();
      return message;
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw new PeerFrameException("not a frame: " + e.getMessage(), e);
    }
  }

  private static void write(MessageBufferPacker out, PeerMessage message) throws IOException {
    if (message instanceof PeerMessage.OfAttempt ofAttempt) {
      out.packString(ofAttempt.id().request().value());
      out.packInt(ofAttempt.id().attempt());
      writeOfAttempt(out, ofAttempt);
    } else {
      ControlFrames.write(out, message);
    }
  }

  private static void writeOfAttempt(MessageBufferPacker out, PeerMessage.OfAttempt message)
      throws IOException {
    if (message instanceof PeerMessage.Forward forward) {
      writeForward(out, forward);
    } else if (message instanceof PeerMessage.StartAnswer answer) {
      out.packBoolean(answer.granted());
    } else if (message instanceof PeerMessage.Tokens tokens) {
      out.packString(tokens.ranOn().toString());
      out.packInt(tokens.firstIndex());
      out.packArrayHeader(tokens.texts().size());
      for (String text : tokens.texts()) {
        out.packString(text);
      }
    } else if (message instanceof PeerMessage.Finished finished) {
      out.packString(finished.ranOn().toString());
      out.packInt(finished.tokens());
      out.packLong(finished.stalledMs());
      writeLoads(out, finished.load());
    } else if (message instanceof PeerMessage.Started started) {
      out.packString(started.endpoint().value());
    } else if (message instanceof PeerMessage.ServiceAnswer answer) {
      out.packInt(answer.status());
      out.packString(answer.contentType());
      writeBytes(out, answer.body());
    } else if (message instanceof PeerMessage.Refused refused) {
      out.packString(refused.kind().name());
      out.packBoolean(refused.byEndpoint());
      out.packLong(refused.comeBackMs());
    } else if (message instanceof PeerMessage.Flow flow) {
      out.packBoolean(flow.paused());
    }
  }

  private static void writeLoads(MessageBufferPacker out, List<EndpointLoad> loads)
      throws IOException {
    out.packArrayHeader(loads.size());
    for (EndpointLoad load : loads) {
      out.packString(load.endpoint().value());
      out.packInt(load.streams());
      out.packInt(load.queued());
      out.packInt(load.maxStreams());
      writeAdapters(out, load.adapters());
      writeAdapters(out, load.hot());
      out.packInt(load.price());
    }
  }

  private static void writeAdapters(MessageBufferPacker out, Set<AdapterVersion> adapters)
      throws IOException {
    out.packArrayHeader(adapters.size());
    for (AdapterVersion adapter : adapters) {
      out.packString(adapter.toString());
    }
  }

  private static void writeForward(MessageBufferPacker out, PeerMessage.Forward forward)
      throws IOException {
    out.packString(forward.endpoint().value());
    out.packString(forward.mode().name());
    out.packLong(forward.remainingMs());
    out.packBoolean(forward.atMostOnce());
    out.packString(forward.work().priority().name());
    if (forward.work() instanceof ForwardedWork.Completion work) {
      out.packInt(COMPLETION);
      out.packString(work.adapter().toString());
      out.packString(work.model().value());
      out.packString(work.service().map(ServiceId::value).orElse(""));
      out.packString(work.prompt());
      out.packInt(work.maxTokens());
      out.packInt(work.resumeFrom());
    } else if (forward.work() instanceof ForwardedWork.ServiceCall work) {
      out.packInt(SERVICE_CALL);
      out.packString(work.method());
      out.packString(work.path());
      out.packString(work.contentType());
      out.packString(work.idempotencyKey());
      writeBytes(out, work.body());
    }
  }

  private static void writeBytes(MessageBufferPacker out, byte[] bytes) throws IOException {
    out.packBinaryHeader(bytes.length);
    out.writePayload(bytes);
  }

  static PeerMessage readForward(FrameReader in) throws IOException, PeerFrameException {
    PeerMessage.AttemptId id = in.attempt();
    EndpointId endpoint = new EndpointId(in.text());
    AttemptAction.Mode mode = in.constant(AttemptAction.Mode.class);
    long remainingMs = in.longNumber();
    boolean atMostOnce = in.bool();
    Priority priority = in.constant(Priority.class);
    ForwardedWork work = readWork(in, priority);
    return new PeerMessage.Forward(id, endpoint, work, mode, remainingMs, atMostOnce);
  }

  private static ForwardedWork readWork(FrameReader in, Priority priority)
      throws IOException, PeerFrameException {
    int kind = in.number();
    if (kind == COMPLETION) {
      return new ForwardedWork.Completion(
          in.adapter(),
          new ModelId(in.text()),
          priority,
          Optional.of(in.text()).filter(name -> !name.isEmpty()).map(ServiceId::new),
          in.text(),
          in.number(),
          in.number());
    }
    if (kind == SERVICE_CALL) {
      return new ForwardedWork.ServiceCall(
          priority, in.text(), in.text(), in.text(), in.text(), in.bytes());
    }
    throw new PeerFrameException("no such kind of work: " + kind);
  }

  static PeerMessage readTokens(FrameReader in) throws IOException, PeerFrameException {
    PeerMessage.AttemptId id = in.attempt();
    AdapterVersion ranOn = in.adapter();
    int firstIndex = in.number();
    return new PeerMessage.Tokens(id, ranOn, firstIndex, in.list(FrameReader::text));
  }

  static PeerMessage readFinished(FrameReader in) throws IOException, PeerFrameException {
    return new PeerMessage.Finished(
        in.attempt(), in.adapter(), in.number(), in.longNumber(), in.list(PeerFrames::readLoad));
  }

  private static EndpointLoad readLoad(FrameReader in) throws IOException, PeerFrameException {
    return new EndpointLoad(
        new EndpointId(in.text()),
        in.number(),
        in.number(),
        in.number(),
        new HashSet<>(in.list(FrameReader::adapter)),
        new HashSet<>(in.list(FrameReader::adapter)),
        in.number());
  }

  static PeerMessage readServiceAnswer(FrameReader in) throws IOException, PeerFrameException {
    return new PeerMessage.ServiceAnswer(in.attempt(), in.number(), in.text(), in.bytes());
  }

  static PeerMessage readRefused(FrameReader in) throws IOException, PeerFrameException {
    PeerMessage.AttemptId id = in.attempt();
    ErrorKind kind = in.constant(ErrorKind.class);
    return new PeerMessage.Refused(id, kind, in.bool(), in.longNumber());
  }
}
