package io.sequoiapass.daemon.connection.peer;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.HostId;
import io.sequoiapass.coordination.process.HostHint;
import io.sequoiapass.coordination.process.PlatformReport;
import io.sequoiapass.coordination.version.HostHints;
import io.sequoiapass.coordination.version.HostReport;
import java.io.IOException;
import java.util.Set;
import org.msgpack.core.MessagePacker;

/** Writes and reads the fields of control frames: those that belong to no request. */
final class ControlFrames {

  private ControlFrames() {}

  static void write(MessagePacker out, PeerMessage message) throws IOException {
    if (message instanceof PeerMessage.Hello hello) {
      out.packString(hello.daemon().value());
      out.packString(hello.dataCentre().value());
      out.packString(hello.host().value());
      out.packLong(hello.incarnation());
    } else if (message instanceof PeerMessage.Heartbeat beat) {
      writeHeartbeat(out, beat);
    } else if (message instanceof PeerMessage.ObjectsPush push) {
      out.packArrayHeader(push.objects().size());
      for (String object : push.objects()) {
        out.packString(object);
      }
      out.packBoolean(push.complete());
      out.packBoolean(push.ready());
      out.packArrayHeader(push.forwardTo().size());
      for (DaemonId daemon : push.forwardTo()) {
        out.packString(daemon.value());
      }
    } else if (message instanceof PeerMessage.ObjectsRequest request) {
      out.packArrayHeader(request.buckets().size());
      for (long sum : request.buckets()) {
        out.packLong(sum);
      }
    } else if (message instanceof PeerMessage.HostsPush push) {
      writeHosts(out, push.hints());
    } else if (message instanceof PeerMessage.TablePush push) {
      TableFrames.writeTable(out, push);
    } else if (message instanceof PeerMessage.TableDelta push) {
      TableFrames.writeDelta(out, push);
    } else if (message instanceof PeerMessage.TableRequest request) {
      out.packLong(request.knownVersion());
    } else if (message instanceof PeerMessage.RelayCall call) {
      out.packLong(call.call());
      out.packString(call.operation());
      out.packLong(call.expectedVersion());
      out.packString(call.value());
    } else if (message instanceof PeerMessage.RelayAnswer answer) {
      out.packLong(answer.call());
      out.packString(answer.result().name());
      out.packLong(answer.version());
      out.packString(answer.operation());
      out.packString(answer.value());
    } else if (message instanceof PeerMessage.Ledger ledger) {
      LedgerFrames.write(out, ledger.message());
    }
  }

  private static void writeHeartbeat(MessagePacker out, PeerMessage.Heartbeat beat)
      throws IOException {
    out.packLong(beat.incarnation());
    out.packBoolean(beat.draining());
    out.packLong(beat.configuration());
    out.packBoolean(beat.platform().platformOut());
    out.packLong(beat.platform().tableVersion());
    out.packLong(beat.platform().leaseVersion());
    out.packLong(beat.platform().echoedMillis());
    out.packLong(beat.sentMs());
    out.packInt(beat.weightDemand());
    out.packBoolean(beat.cutOff());
  }

  private static void writeHosts(MessagePacker out, HostHints hints) throws IOException {
    out.packLong(hints.version());
    out.packString(hints.reader());
    out.packArrayHeader(hints.reports().size());
    for (HostReport report : hints.reports()) {
      out.packString(report.host().value());
      out.packString(report.hint().name());
      out.packArrayHeader(report.endpoints().size());
      for (EndpointId endpoint : report.endpoints()) {
        out.packString(endpoint.value());
      }
    }
  }

  static PeerMessage readHello(FrameReader in) throws IOException {
    return new PeerMessage.Hello(
        new DaemonId(in.text()),
        new DataCentreId(in.text()),
        new HostId(in.text()),
        in.longNumber());
  }

  static PeerMessage readHeartbeat(FrameReader in) throws IOException {
    long incarnation = in.longNumber();
    boolean draining = in.bool();
    long configuration = in.longNumber();
    PlatformReport report =
        new PlatformReport(in.bool(), in.longNumber(), in.longNumber(), in.longNumber());
    return new PeerMessage.Heartbeat(
        incarnation, draining, configuration, report, in.longNumber(), in.number(), in.bool());
  }

  static PeerMessage readObjectsPush(FrameReader in) throws IOException, PeerFrameException {
    return new PeerMessage.ObjectsPush(
        in.list(FrameReader::text),
        in.bool(),
        in.bool(),
        in.list(element -> new DaemonId(element.text())));
  }

  static PeerMessage readHostsPush(FrameReader in) throws IOException, PeerFrameException {
    long version = in.longNumber();
    DaemonId reader = new DaemonId(in.text());
    return new PeerMessage.HostsPush(
        HostHints.of(version, reader, in.list(ControlFrames::readHost)));
  }

  private static HostReport readHost(FrameReader in) throws IOException, PeerFrameException {
    return new HostReport(
        new HostId(in.text()),
        in.constant(HostHint.class),
        Set.copyOf(in.list(element -> new EndpointId(element.text()))));
  }

  static PeerMessage readRelayCall(FrameReader in) throws IOException {
    return new PeerMessage.RelayCall(in.longNumber(), in.text(), in.longNumber(), in.text());
  }

  static PeerMessage readRelayAnswer(FrameReader in) throws IOException {
    return new PeerMessage.RelayAnswer(
        in.longNumber(),
        in.constant(PeerMessage.RelayResult.class),
        in.longNumber(),
        in.text(),
        in.text());
  }
}
