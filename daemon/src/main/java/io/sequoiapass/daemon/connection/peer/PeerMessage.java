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
 * Is one frame between two daemons.
 *
 * <p>Every frame about a request carries the request and the attempt, so that a frame of an attempt
 * that was given up cannot be taken for one of its successor. Instances are immutable and safe for
 * use by several threads.
 */
public sealed interface PeerMessage {

  /** Returns the type whose number stands first in the frame. */
  PeerMessageType type();

  /** Is a frame about one attempt of one request. */
  sealed interface OfAttempt extends PeerMessage {

    /** Returns the request and the attempt. */
    AttemptId id();
  }

  /**
   * Names one attempt of one request.
   *
   * @param request the request
   * @param attempt the attempt's number, from 1
   */
  record AttemptId(RequestId request, int attempt) {}

  /**
   * Opens a link: tells who calls.
   *
   * @param daemon the caller
   * @param dataCentre where it runs
   * @param host the host it runs on
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
   * Shows that a daemon lives, and what of its state others act on.
   *
   * @param incarnation the sender's incarnation
   * @param draining whether the sender is stopping
   * @param configuration digest of the configuration that the sender holds
   * @param platform what the sender knows of the platform, its lease and its ownership table
   * @param sentMs the sender's clock, which the receiver sends back
   * @param weightDemand how many loads the sender waits for
   * @param cutOff whether the sender's own calls to the platform go unanswered
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

    /** Returns the same heartbeat, saying whether the sender's own calls go unanswered. */
    public Heartbeat cutOff(boolean now) {
      return new Heartbeat(
          incarnation, draining, configuration, platform, sentMs, weightDemand, now);
    }

    @Override
    public PeerMessageType type() {
      return PeerMessageType.HEARTBEAT;
    }
  }

  /**
   * Hands a request to the owner of an endpoint.
   *
   * @param id the attempt
   * @param endpoint where the entry wants it to run
   * @param work what to run
   * @param mode whether the owner may run it, or only go on with a stream that the engine still has
   * @param remainingMs milliseconds until its deadline; a span, since clocks differ
   * @param atMostOnce whether the owner has to ask before it starts
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
   * Asks the entry whether an attempt may start.
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
   * @param granted whether it may start
   */
  record StartAnswer(AttemptId id, boolean granted) implements OfAttempt {
    @Override
    public PeerMessageType type() {
      return PeerMessageType.START_ANSWER;
    }
  }

  /**
   * Tells where an attempt runs, if not where the entry sent it.
   *
   * @param id the attempt
   * @param endpoint the endpoint that it is written to
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
   * @param ranOn the adapter and version that the engine says it ran on
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
   * @param ranOn the adapter and version that the engine says it ran on
   * @param tokens how many tokens the whole answer has
   * @param stalledMs how long the request waited for its adapter, in milliseconds
   * @param load how busy the owner's endpoints are; a hint for the entry's next requests
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
   * Carries the whole answer of a plain service.
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
   * @param kind why it was refused
   * @param byEndpoint whether the endpoint refused it; otherwise it never left the owner's queue
   * @param comeBackMs when to come back, in milliseconds; 0 for the kind's default
   */
  record Refused(AttemptId id, ErrorKind kind, boolean byEndpoint, long comeBackMs)
      implements OfAttempt {
    @Override
    public PeerMessageType type() {
      return PeerMessageType.REFUSED;
    }
  }

  /**
   * Ends an attempt that may have run and whose answer will not become whole.
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
   * Tells the owner that nobody waits for an attempt any more.
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
   * Tells the owner whether the caller's connection takes more.
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
   * @param complete whether they are all in which the two differ, as the answer to a request
   * @param ready whether the sender's own configuration is complete
   * @param passOnTo the daemons to which the receiver passes it on
   */
  record ObjectsPush(List<String> objects, boolean complete, boolean ready, List<DaemonId> passOnTo)
      implements PeerMessage {
    /** Copies the lists. */
    public ObjectsPush {
      objects = List.copyOf(objects);
      passOnTo = List.copyOf(passOnTo);
    }

    /** Returns the same push with others to pass it on to. */
    public ObjectsPush passedOnTo(List<DaemonId> others) {
      return new ObjectsPush(objects, complete, ready, others);
    }

    @Override
    public PeerMessageType type() {
      return PeerMessageType.OBJECTS_PUSH;
    }
  }

  /**
   * Asks a peer for the configuration objects in which the two differ.
   *
   * @param buckets the sums of the sender's digest, one a bucket
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
   * Carries what a reader of the platform's host list made of it.
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
   * Carries what changed in the ownership table of a data centre.
   *
   * @param dataCentre the data centre
   * @param delta what changed
   */
  record TableDelta(DataCentreId dataCentre, OwnershipDelta delta) implements PeerMessage {
    @Override
    public PeerMessageType type() {
      return PeerMessageType.TABLE_DELTA;
    }
  }

  /**
   * Asks a peer for what is newer in the ownership table of its data centre.
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
   * Asks a peer to read or renew the sender's own lease object on the platform.
   *
   * @param call names the call
   * @param operation names the write; empty for a read
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
   * @param result what came of it
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

  /** Tells what came of a relayed call. */
  enum RelayResult {
    /** The object was read, or there is none. */
    READ,
    /** The write was stored. */
    STORED,
    /** The object had another version. */
    CONFLICT,
    /** No answer. */
    LOST
  }
}
