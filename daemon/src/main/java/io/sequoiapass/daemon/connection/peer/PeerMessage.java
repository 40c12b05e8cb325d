package io.sequoiapass.daemon.connection.peer;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.HostId;
import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.coordination.process.OwnershipDelta;
import io.sequoiapass.coordination.process.OwnershipTable;
import io.sequoiapass.coordination.process.PlatformReport;
import io.sequoiapass.coordination.request.AttemptAction.Mode;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.request.LedgerMessage;
import io.sequoiapass.coordination.version.HostHints;
import io.sequoiapass.daemon.process.placement.EndpointLoad;
import java.util.List;

/**
 * A message between two daemons, sent as one frame.
 *
 * <p>Every message about a request carries the request and the attempt, so that a message of an
 * abandoned attempt cannot be mistaken for one of its successor. Instances are immutable and safe
 * for use by several threads.
 */
public sealed interface PeerMessage {

  /** Returns the message type; its number is the first field of the frame. */
  PeerMessageType type();

  /** A message about one attempt of a request. */
  sealed interface OfAttempt extends PeerMessage {

    /** Returns the request and the attempt. */
    AttemptId id();
  }

  /**
   * Identifies one attempt of a request.
   *
   * @param request the request
   * @param attempt the attempt's number, from 1
   */
  record AttemptId(RequestId request, int attempt) {}

  /**
   * The first message on a connection; identifies the sender.
   *
   * @param daemon the sender
   * @param dataCentre the sender's data centre
   * @param host the sender's host
   * @param incarnation a number that grows with each start of that daemon
   */
  record Hello(DaemonId daemon, DataCentreId dataCentre, HostId host, long incarnation)
      implements PeerMessage {
    @Override
    public PeerMessageType type() {
      return PeerMessageType.HELLO;
    }
  }

  /**
   * Shows that a daemon is alive and reports the state that its peers act on.
   *
   * @param incarnation the sender's incarnation
   * @param draining whether the sender is stopping
   * @param configuration digest of the configuration that the sender holds
   * @param platform the sender's view of the platform, its lease and its ownership table
   * @param sentMs the sender's clock in milliseconds, which the receiver echoes
   * @param weightDemand number of loads that the sender waits for
   * @param cutOff whether the platform leaves the sender's own calls unanswered
   */
  record Heartbeat(
      long incarnation,
      boolean draining,
      long configuration,
      PlatformReport platform,
      long sentMs,
      int weightDemand,
      boolean cutOff)
      implements PeerMessage {

    /** Returns a copy of this heartbeat with another value of {@code cutOff}. */
    public Heartbeat withCutOff(boolean newCutOff) {
      return new Heartbeat(
          incarnation, draining, configuration, platform, sentMs, weightDemand, newCutOff);
    }

    @Override
    public PeerMessageType type() {
      return PeerMessageType.HEARTBEAT;
    }
  }

  /**
   * Forwards a request to the owner of an endpoint.
   *
   * @param id the attempt
   * @param endpoint the endpoint that the entry selected
   * @param work the work to run
   * @param mode whether the owner may run it, or only resume a stream that the engine still holds
   * @param remainingMs milliseconds until the deadline; a duration, since clocks of hosts differ
   * @param atMostOnce whether the owner must send {@link MayStart} before it starts the work
   */
  record Forward(
      AttemptId id,
      EndpointId endpoint,
      ForwardedWork work,
      Mode mode,
      long remainingMs,
      boolean atMostOnce)
      implements OfAttempt {
    @Override
    public PeerMessageType type() {
      return PeerMessageType.FORWARD;
    }
  }

  /**
   * Requests the entry's permission to start an attempt.
   *
   * @param id the attempt
   */
  record MayStart(AttemptId id) implements OfAttempt {
    @Override
    public PeerMessageType type() {
      return PeerMessageType.MAY_START;
    }
  }

  /**
   * Answers {@link MayStart}.
   *
   * @param id the attempt
   * @param granted whether the attempt may start
   */
  record StartAnswer(AttemptId id, boolean granted) implements OfAttempt {
    @Override
    public PeerMessageType type() {
      return PeerMessageType.START_ANSWER;
    }
  }

  /**
   * Reports the endpoint of an attempt that runs elsewhere than the entry selected.
   *
   * @param id the attempt
   * @param endpoint the endpoint to which the attempt is sent
   */
  record Started(AttemptId id, EndpointId endpoint) implements OfAttempt {
    @Override
    public PeerMessageType type() {
      return PeerMessageType.STARTED;
    }
  }

  /**
   * Carries tokens of a stream.
   *
   * @param id the attempt
   * @param ranOn the adapter and version that the engine reports to have run
   * @param firstIndex index of the first token, from 0
   * @param texts the tokens
   */
  record Tokens(AttemptId id, AdapterVersion ranOn, int firstIndex, List<String> texts)
      implements OfAttempt {
    /** Copies the list. */
    public Tokens {
      texts = List.copyOf(texts);
    }

    @Override
    public PeerMessageType type() {
      return PeerMessageType.TOKENS;
    }
  }

  /**
   * Ends a stream.
   *
   * @param id the attempt
   * @param ranOn the adapter and version that the engine reports to have run
   * @param tokens number of tokens in the complete answer
   * @param stalledMs how long the request waited for its adapter, in milliseconds
   * @param load load of the owner's endpoints; a hint for the entry's next requests
   */
  record Finished(
      AttemptId id, AdapterVersion ranOn, int tokens, long stalledMs, List<EndpointLoad> load)
      implements OfAttempt {
    /** Copies the list. */
    public Finished {
      load = List.copyOf(load);
    }

    @Override
    public PeerMessageType type() {
      return PeerMessageType.FINISHED;
    }
  }

  /**
   * Carries the complete answer of a plain service.
   *
   * @param id the attempt
   * @param status the service's status code
   * @param contentType the service's content type
   * @param body the body
   */
  @SuppressWarnings("ArrayRecordComponent")
  record ServiceAnswer(AttemptId id, int status, String contentType, byte[] body)
      implements OfAttempt {
    @Override
    public PeerMessageType type() {
      return PeerMessageType.SERVICE_ANSWER;
    }
  }

  /**
   * Ends an attempt with the owner's proof that it did not run.
   *
   * @param id the attempt
   * @param kind the reason for the refusal
   * @param byEndpoint whether the endpoint refused it; otherwise the owner never sent it to an
   *     endpoint
   * @param comeBackMs delay before a retry, in milliseconds; 0 for the default of the kind
   */
  record Refused(AttemptId id, ErrorKind kind, boolean byEndpoint, long comeBackMs)
      implements OfAttempt {
    @Override
    public PeerMessageType type() {
      return PeerMessageType.REFUSED;
    }
  }

  /**
   * Ends an attempt that may have run and whose answer stays incomplete.
   *
   * @param id the attempt
   */
  record EndpointLost(AttemptId id) implements OfAttempt {
    @Override
    public PeerMessageType type() {
      return PeerMessageType.ENDPOINT_LOST;
    }
  }

  /**
   * Cancels an attempt whose answer is not needed any more.
   *
   * @param id the attempt
   */
  record Cancel(AttemptId id) implements OfAttempt {
    @Override
    public PeerMessageType type() {
      return PeerMessageType.CANCEL;
    }
  }

  /**
   * Notifies the owner whether the caller's connection accepts more data.
   *
   * @param id the attempt
   * @param paused whether the owner should stop reading from the endpoint
   */
  record Flow(AttemptId id, boolean paused) implements OfAttempt {
    @Override
    public PeerMessageType type() {
      return PeerMessageType.FLOW;
    }
  }

  /**
   * Carries configuration objects to a peer, in the platform's JSON form.
   *
   * @param objects the objects
   * @param complete whether these are all objects in which the two daemons differ, as in the answer
   *     to a request
   * @param ready whether the sender's own configuration is complete
   * @param forwardTo the daemons to which the receiver forwards the push
   */
  record ObjectsPush(
      List<String> objects, boolean complete, boolean ready, List<DaemonId> forwardTo)
      implements PeerMessage {
    /** Copies the lists. */
    public ObjectsPush {
      objects = List.copyOf(objects);
      forwardTo = List.copyOf(forwardTo);
    }

    /** Returns a copy of this push with other daemons to forward it to. */
    public ObjectsPush withForwardTo(List<DaemonId> others) {
      return new ObjectsPush(objects, complete, ready, others);
    }

    @Override
    public PeerMessageType type() {
      return PeerMessageType.OBJECTS_PUSH;
    }
  }

  /**
   * Requests the configuration objects in which the sender and the receiver differ.
   *
   * @param buckets the checksums of the sender's digest, one per bucket
   */
  record ObjectsRequest(List<Long> buckets) implements PeerMessage {
    /** Copies the list. */
    public ObjectsRequest {
      buckets = List.copyOf(buckets);
    }

    @Override
    public PeerMessageType type() {
      return PeerMessageType.OBJECTS_REQUEST;
    }
  }

  /**
   * Carries the host hints that a reader of the platform's host list derived from it.
   *
   * @param hints the hosts that are not live
   */
  record HostsPush(HostHints hints) implements PeerMessage {
    @Override
    public PeerMessageType type() {
      return PeerMessageType.HOSTS_PUSH;
    }
  }

  /**
   * Carries the ownership table of a data centre.
   *
   * @param dataCentre the data centre
   * @param table the table
   */
  record TablePush(DataCentreId dataCentre, OwnershipTable table) implements PeerMessage {
    @Override
    public PeerMessageType type() {
      return PeerMessageType.TABLE_PUSH;
    }
  }

  /**
   * Carries the changes of the ownership table of a data centre.
   *
   * @param dataCentre the data centre
   * @param delta the changes
   */
  record TableDelta(DataCentreId dataCentre, OwnershipDelta delta) implements PeerMessage {
    @Override
    public PeerMessageType type() {
      return PeerMessageType.TABLE_DELTA;
    }
  }

  /**
   * Requests the changes of the peer's ownership table since a version.
   *
   * @param knownVersion the version that the sender holds
   */
  record TableRequest(long knownVersion) implements PeerMessage {
    @Override
    public PeerMessageType type() {
      return PeerMessageType.TABLE_REQUEST;
    }
  }

  /**
   * Requests that a peer reads or renews the sender's own lease object on the platform.
   *
   * @param call identifies the call
   * @param operation identifies the write; empty for a read
   * @param expectedVersion the version that the object must have
   * @param value the lease in the platform's JSON form; empty for a read
   */
  record RelayCall(long call, String operation, long expectedVersion, String value)
      implements PeerMessage {
    @Override
    public PeerMessageType type() {
      return PeerMessageType.RELAY_CALL;
    }
  }

  /**
   * Answers {@link RelayCall}.
   *
   * @param call the call
   * @param result the result
   * @param version the object's version; 0 if there is none
   * @param operation the operation that wrote the object, or empty
   * @param value the object's value after a read, or empty
   */
  record RelayAnswer(long call, RelayResult result, long version, String operation, String value)
      implements PeerMessage {
    @Override
    public PeerMessageType type() {
      return PeerMessageType.RELAY_ANSWER;
    }
  }

  /**
   * Carries a message about idempotency keys.
   *
   * @param message the message
   */
  record Ledger(LedgerMessage message) implements PeerMessage {
    @Override
    public PeerMessageType type() {
      return PeerMessageType.LEDGER;
    }
  }

  /** Result of a relayed call. */
  enum RelayResult {
    /** The object was read, or does not exist. */
    READ,
    /** The write was stored. */
    STORED,
    /** The object had another version. */
    CONFLICT,
    /** The platform did not answer. */
    LOST
  }
}
