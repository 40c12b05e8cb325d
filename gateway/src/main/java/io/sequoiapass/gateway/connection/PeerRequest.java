package io.sequoiapass.gateway.connection;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.WorkspaceId;
import io.sequoiapass.gateway.spi.CallerIdentity;
import io.sequoiapass.gateway.version.RequestKind;
import io.sequoiapass.gateway.version.RouteSpec;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.io.IOException;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * What a daemon has decided on a caller's request that it sends through a peer.
 *
 * <p>The peer adopts it instead of deciding again, since its configuration may be older or newer.
 * It travels in a header of the request as a MessagePack sequence in Base64. Instances are
 * immutable and safe for use by several threads.
 *
 * @param from the daemon that accepted the request
 * @param service the service that answers it
 * @param route its route
 * @param identity whose request it is
 * @param priority the priority of the caller's workspace; empty to use the route's
 * @param waitedMs how long ago it arrived, in milliseconds
 * @param remainingMs how long the caller still waits, in milliseconds
 * @param runs the number of attempts that may have run
 * @param earnsRetries whether the peer counts it as a request for its retry budget
 * @param lastEventId the last event that the caller has received; empty if there is none
 * @param software the software version that has to serve the request; empty if any may
 */
public record PeerRequest(
    DaemonId from,
    ServiceId service,
    RouteSpec route,
    CallerIdentity identity,
    OptionalInt priority,
    long waitedMs,
    long remainingMs,
    int runs,
    boolean earnsRetries,
    OptionalLong lastEventId,
    Optional<SoftwareVersion> software) {

  /** The header that carries this record. */
  public static final String HEADER = "Peer-Request";

  /** The header of an answer that names the error, if the peer has no answer of an endpoint. */
  public static final String ERROR_HEADER = "Peer-Error";

  /** The header of an answer with the time after which to retry, in milliseconds. */
  public static final String RETRY_AFTER_HEADER = "Peer-Retry-After-Ms";

  /** The header of an error of a peer that has sent the request to an endpoint. */
  public static final String SENT_HEADER = "Peer-Sent";

  /** The header of an answer with the software version of the endpoint that answers. */
  public static final String SOFTWARE_HEADER = "Peer-Software-Version";

  private static final long NO_EVENT = -1;
  private static final int NO_PRIORITY = -1;

  /** Returns the header's value. */
  public String encode() {
    byte[] bytes =
        LinkFrames.bytes(
            out -> {
              out.packString(from.value());
              out.packString(service.value());
              writeRoute(out, route);
              out.packBoolean(identity.withholdsKey());
              out.packString(identity.workspace().map(WorkspaceId::value).orElse(""));
              out.packInt(priority.orElse(NO_PRIORITY));
              out.packLong(waitedMs);
              out.packLong(remainingMs);
              out.packInt(runs);
              out.packBoolean(earnsRetries);
              out.packLong(lastEventId.orElse(NO_EVENT));
              out.packBoolean(software.isPresent());
              out.packString(software.map(SoftwareVersion::value).orElse(""));
            });
    return Base64.getEncoder().encodeToString(bytes);
  }

  private static void writeRoute(MessageBufferPacker out, RouteSpec route) throws IOException {
    out.packString(route.name());
    out.packString(route.host());
    out.packString(route.pathPrefix());
    out.packString(route.kind().name());
    out.packLong(route.timeoutMs());
    out.packLong(route.targetMs());
    out.packLong(route.gapTargetMs());
    out.packInt(route.priority());
    out.packInt(route.maxAttempts());
    out.packBoolean(route.resumable());
    out.packLong(route.abandonMs());
    out.packBoolean(route.isPublic());
  }

  /**
   * Decodes a header's value.
   *
   * @param header the value
   * @throws LinkFrames.FormatException if it is malformed
   */
  public static PeerRequest decode(String header) throws LinkFrames.FormatException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(Base64.getDecoder().decode(header))) {
      DaemonId from = new DaemonId(in.unpackString());
      ServiceId service = new ServiceId(in.unpackString());
      return new PeerRequest(
          from,
          service,
          readRoute(in, service),
          readIdentity(in),
          readPriority(in),
          in.unpackLong(),
          in.unpackLong(),
          in.unpackInt(),
          in.unpackBoolean(),
          readLastEvent(in),
          readSoftware(in));
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw new LinkFrames.FormatException("malformed request of a peer: " + e.getMessage(), e);
    }
  }

  /** The service was chosen already, so it is the route's only target. */
  private static RouteSpec readRoute(MessageUnpacker in, ServiceId service) throws IOException {
    return new RouteSpec(
        in.unpackString(),
        in.unpackString(),
        in.unpackString(),
        RequestKind.valueOf(in.unpackString()),
        in.unpackLong(),
        in.unpackLong(),
        in.unpackLong(),
        in.unpackInt(),
        List.of(new RouteSpec.Target(service, 1)),
        in.unpackInt(),
        in.unpackBoolean(),
        in.unpackLong(),
        in.unpackBoolean());
  }

  private static CallerIdentity readIdentity(MessageUnpacker in) throws IOException {
    boolean withholdsKey = in.unpackBoolean();
    String workspace = in.unpackString();
    return new CallerIdentity(
        workspace.isEmpty() ? Optional.empty() : Optional.of(new WorkspaceId(workspace)),
        withholdsKey);
  }

  private static OptionalInt readPriority(MessageUnpacker in) throws IOException {
    int priority = in.unpackInt();
    return priority == NO_PRIORITY ? OptionalInt.empty() : OptionalInt.of(priority);
  }

  private static Optional<SoftwareVersion> readSoftware(MessageUnpacker in) throws IOException {
    boolean isBound = in.unpackBoolean();
    SoftwareVersion software = new SoftwareVersion(in.unpackString());
    return isBound ? Optional.of(software) : Optional.empty();
  }

  private static OptionalLong readLastEvent(MessageUnpacker in) throws IOException {
    long event = in.unpackLong();
    return event == NO_EVENT ? OptionalLong.empty() : OptionalLong.of(event);
  }
}
