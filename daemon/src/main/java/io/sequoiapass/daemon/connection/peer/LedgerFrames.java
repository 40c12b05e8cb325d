package io.sequoiapass.daemon.connection.peer;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.IdempotencyKey;
import io.sequoiapass.coordination.OperationId;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.request.LedgerMember;
import io.sequoiapass.coordination.request.LedgerMessage;
import io.sequoiapass.coordination.request.LedgerRecord;
import io.sequoiapass.coordination.request.LedgerRecord.Holder;
import io.sequoiapass.coordination.request.LedgerState;
import io.sequoiapass.coordination.request.OutcomeClass;
import java.io.IOException;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.msgpack.core.MessagePacker;

/**
 * Writes and reads the fields of ledger frames: the number of the kind, then the fields of the
 * record.
 */
final class LedgerFrames {

  private static final int RESERVE = 1;
  private static final int MARK_START = 2;
  private static final int FINISH = 3;
  private static final int ANSWER = 4;
  private static final int COPY = 5;
  private static final int COPIED = 6;
  private static final int REQUEST_RECORDS = 7;
  private static final int RECORDS = 8;
  private static final int QUERY_HOLDER = 9;
  private static final int STILL_OPEN = 10;

  private LedgerFrames() {}

  static void write(MessagePacker out, LedgerMessage message) throws IOException {
    if (message instanceof LedgerMessage.Reserve reserve) {
      out.packInt(RESERVE);
      out.packString(reserve.key().value());
      out.packString(reserve.digest());
      write(out, reserve.holder());
    } else if (message instanceof LedgerMessage.MarkStart start) {
      out.packInt(MARK_START);
      out.packString(start.key().value());
      write(out, start.holder());
    } else if (message instanceof LedgerMessage.Finish finish) {
      out.packInt(FINISH);
      out.packString(finish.key().value());
      write(out, finish.holder());
      out.packString(finish.outcome().name());
    } else if (message instanceof LedgerMessage.Answer answer) {
      out.packInt(ANSWER);
      out.packString(answer.key().value());
      write(out, answer.holder());
      out.packString(answer.step().name());
      out.packString(answer.refusal().map(ErrorKind::name).orElse(""));
    } else if (message instanceof LedgerMessage.QueryHolder ask) {
      out.packInt(QUERY_HOLDER);
      write(out, ask.key(), ask.holder(), ask.requester());
    } else if (message instanceof LedgerMessage.StillOpen open) {
      out.packInt(STILL_OPEN);
      write(out, open.key(), open.holder(), open.requester());
    } else {
      writeReplicaMessage(out, message);
    }
  }

  private static void writeReplicaMessage(MessagePacker out, LedgerMessage message)
      throws IOException {
    if (message instanceof LedgerMessage.Copy copy) {
      out.packInt(COPY);
      write(out, copy.record());
    } else if (message instanceof LedgerMessage.Copied copied) {
      out.packInt(COPIED);
      write(out, copied.by());
      out.packString(copied.key().value());
      out.packLong(copied.sequence());
    } else if (message instanceof LedgerMessage.RequestRecords ask) {
      out.packInt(REQUEST_RECORDS);
      write(out, ask.by());
      out.packLong(ask.view());
    } else if (message instanceof LedgerMessage.Records records) {
      out.packInt(RECORDS);
      write(out, records.by());
      out.packLong(records.view());
      out.packArrayHeader(records.records().size());
      for (LedgerRecord record : records.records()) {
        write(out, record);
      }
      out.packArrayHeader(records.lost().size());
      for (LedgerMessage.Loss loss : records.lost()) {
        write(out, loss.before());
        write(out, loss.left());
        out.packLong(loss.remainingMillis());
      }
      out.packBoolean(records.retentionElapsed());
    }
  }

  private static void write(MessagePacker out, IdempotencyKey key, Holder holder, Holder requester)
      throws IOException {
    out.packString(key.value());
    write(out, holder);
    write(out, requester);
  }

  private static void write(MessagePacker out, LedgerMember member) throws IOException {
    out.packString(member.daemon().value());
    out.packLong(member.incarnation());
  }

  private static void write(MessagePacker out, Collection<LedgerMember> members)
      throws IOException {
    out.packArrayHeader(members.size());
    for (LedgerMember member : members) {
      write(out, member);
    }
  }

  private static void write(MessagePacker out, Holder holder) throws IOException {
    write(out, holder.entry());
    out.packString(holder.operation().value());
  }

  private static void write(MessagePacker out, LedgerRecord record) throws IOException {
    out.packString(record.key().value());
    out.packString(record.digest());
    write(out, record.holder());
    out.packString(record.state().name());
    out.packLong(record.sequence());
    out.packLong(record.expiresInMillis());
  }

  static PeerMessage read(FrameReader in) throws IOException, PeerFrameException {
    return new PeerMessage.Ledger(readMessage(in));
  }

  private static LedgerMessage readMessage(FrameReader in) throws IOException, PeerFrameException {
    int kind = in.number();
    return switch (kind) {
      case RESERVE -> new LedgerMessage.Reserve(key(in), in.text(), holder(in));
      case MARK_START -> new LedgerMessage.MarkStart(key(in), holder(in));
      case FINISH -> new LedgerMessage.Finish(key(in), holder(in), in.constant(OutcomeClass.class));
      case ANSWER ->
          new LedgerMessage.Answer(
              key(in), holder(in), in.constant(LedgerMessage.Step.class), refusal(in));
      case QUERY_HOLDER -> new LedgerMessage.QueryHolder(key(in), holder(in), holder(in));
      case STILL_OPEN -> new LedgerMessage.StillOpen(key(in), holder(in), holder(in));
      case COPY -> new LedgerMessage.Copy(record(in));
      case COPIED -> new LedgerMessage.Copied(member(in), key(in), in.longNumber());
      case REQUEST_RECORDS -> new LedgerMessage.RequestRecords(member(in), in.longNumber());
      case RECORDS ->
          new LedgerMessage.Records(
              member(in),
              in.longNumber(),
              in.list(LedgerFrames::record),
              in.list(LedgerFrames::loss),
              in.bool());
      default -> throw new PeerFrameException("no such kind of ledger message: " + kind);
    };
  }

  private static IdempotencyKey key(FrameReader in) throws IOException {
    return new IdempotencyKey(in.text());
  }

  private static LedgerMember member(FrameReader in) throws IOException {
    return new LedgerMember(new DaemonId(in.text()), in.longNumber());
  }

  private static Set<LedgerMember> members(FrameReader in) throws IOException, PeerFrameException {
    List<LedgerMember> members = in.list(LedgerFrames::member);
    return new HashSet<>(members);
  }

  private static Holder holder(FrameReader in) throws IOException {
    return new Holder(member(in), new OperationId(in.text()));
  }

  private static Optional<ErrorKind> refusal(FrameReader in) throws IOException {
    String name = in.text();
    return name.isEmpty() ? Optional.empty() : Optional.of(ErrorKind.valueOf(name));
  }

  private static LedgerRecord record(FrameReader in) throws IOException {
    return new LedgerRecord(
        key(in),
        in.text(),
        holder(in),
        in.constant(LedgerState.class),
        in.longNumber(),
        in.longNumber());
  }

  private static LedgerMessage.Loss loss(FrameReader in) throws IOException, PeerFrameException {
    return new LedgerMessage.Loss(members(in), members(in), in.longNumber());
  }
}
