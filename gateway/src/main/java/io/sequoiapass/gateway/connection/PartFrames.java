package io.sequoiapass.gateway.connection;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.process.PartKey;
import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes messages about parts of prompts within a frame. The methods are pure. */
final class PartFrames {

  private PartFrames() {}

  static void write(MessageBufferPacker out, LinkMessage.CrashReport report) throws IOException {
    out.packString(report.process().value());
    LinkFrames.list(
        out,
        report.suspects(),
        (to, suspect) -> {
          to.packLong(suspect.request());
          write(to, suspect.parts());
        });
  }

  static LinkMessage.CrashReport readReport(MessageUnpacker in) throws IOException {
    return new LinkMessage.CrashReport(
        new EndpointId(in.unpackString()),
        LinkFrames.list(
            in, from -> new LinkMessage.CrashSuspect(from.unpackLong(), readParts(from))));
  }

  static void write(MessageBufferPacker out, LinkMessage.PartVerdicts verdicts) throws IOException {
    out.packBoolean(verdicts.snapshot());
    write(out, verdicts.suspected());
    write(out, verdicts.convicted());
    write(out, verdicts.ended());
  }

  static LinkMessage.PartVerdicts readVerdicts(MessageUnpacker in) throws IOException {
    return new LinkMessage.PartVerdicts(
        in.unpackBoolean(), readParts(in), readParts(in), readParts(in));
  }

  static void write(MessageBufferPacker out, List<PartKey> parts) throws IOException {
    LinkFrames.list(out, parts, (to, part) -> to.packLong(part.value()));
  }

  static List<PartKey> readParts(MessageUnpacker in) throws IOException {
    return LinkFrames.list(in, from -> new PartKey(from.unpackLong()));
  }
}
