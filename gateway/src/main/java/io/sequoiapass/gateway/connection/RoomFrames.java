package io.sequoiapass.gateway.connection;

import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes messages about scarce room in a frame. The methods are pure. */
final class RoomFrames {

  private static final int DEMAND_REPORT = 18;
  private static final int SHORTAGES = 19;
  private static final int SPEED_REPORT = 20;
  private static final int SPEEDS = 21;
  private static final int PROMPT_REQUEST = 22;
  private static final int PROMPT_TURN = 23;
  private static final int PROMPT_READ = 24;
  private static final int LOAD_WITHDRAWN = 25;
  private static final int PROMPT_SENT = 27;
  private static final int SPILL_SHARES = 26;
  private static final int RETRY_CLAIMS = 28;
  private static final int RETRY_GRANTS = 29;

  private RoomFrames() {}

  static void write(MessageBufferPacker out, RoomMessage message) throws IOException {
    if (message instanceof RoomMessage.DemandReport report) {
      out.packInt(DEMAND_REPORT);
      ShortageFrames.write(out, report);
    } else if (message instanceof RoomMessage.Shortages shortages) {
      out.packInt(SHORTAGES);
      ShortageFrames.write(out, shortages);
    } else if (message instanceof RoomMessage.SpeedReport report) {
      out.packInt(SPEED_REPORT);
      SpeedFrames.write(out, report);
    } else if (message instanceof RoomMessage.Speeds speeds) {
      out.packInt(SPEEDS);
      SpeedFrames.write(out, speeds);
    } else if (message instanceof RoomMessage.PromptRequest request) {
      out.packInt(PROMPT_REQUEST);
      PromptFrames.write(out, request);
    } else if (message instanceof RoomMessage.PromptTurn turn) {
      out.packInt(PROMPT_TURN);
      PromptFrames.write(out, turn);
    } else if (message instanceof RoomMessage.PromptSent sent) {
      out.packInt(PROMPT_SENT);
      PromptFrames.write(out, sent);
    } else if (message instanceof RoomMessage.PromptRead read) {
      out.packInt(PROMPT_READ);
      out.packLong(read.id());
    } else if (message instanceof RoomMessage.LoadWithdrawn withdrawn) {
      out.packInt(LOAD_WITHDRAWN);
      LinkFrames.writeAdapter(out, withdrawn.adapter());
      out.packLong(withdrawn.lastRequest());
    } else if (message instanceof RoomMessage.SpillShares shares) {
      out.packInt(SPILL_SHARES);
      SpillFrames.write(out, shares);
    } else if (message instanceof RoomMessage.RetryClaims claims) {
      out.packInt(RETRY_CLAIMS);
      RetryFrames.write(out, claims);
    } else if (message instanceof RoomMessage.RetryGrants grants) {
      out.packInt(RETRY_GRANTS);
      RetryFrames.write(out, grants);
    }
  }

  static LinkMessage read(MessageUnpacker in, int type) throws IOException {
    return switch (type) {
      case DEMAND_REPORT -> ShortageFrames.readDemand(in);
      case SHORTAGES -> ShortageFrames.readShortages(in);
      case SPEED_REPORT -> SpeedFrames.readReport(in);
      case SPEEDS -> SpeedFrames.readSpeeds(in);
      case PROMPT_REQUEST -> PromptFrames.readRequest(in);
      case PROMPT_TURN -> PromptFrames.readTurn(in);
      case PROMPT_SENT -> PromptFrames.readSent(in);
      case PROMPT_READ -> new RoomMessage.PromptRead(in.unpackLong());
      case LOAD_WITHDRAWN ->
          new RoomMessage.LoadWithdrawn(LinkFrames.readAdapter(in), in.unpackLong());
      case SPILL_SHARES -> SpillFrames.read(in);
      case RETRY_CLAIMS -> RetryFrames.readClaims(in);
      case RETRY_GRANTS -> RetryFrames.readGrants(in);
      default -> throw new IOException("unknown message type " + type);
    };
  }
}
