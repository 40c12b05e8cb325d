package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.DaemonId;
import java.util.Objects;

/**
 * An incarnation of a daemon: a restarted daemon keeps its name but not its memory.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param daemon the daemon
 * @param incarnation increases with each start of the daemon
 */
public record LedgerMember(DaemonId daemon, long incarnation) implements Comparable<LedgerMember> {

  /** Validates the components. */
  public LedgerMember {
    Objects.requireNonNull(daemon, "daemon");
  }

  @Override
  public int compareTo(LedgerMember other) {
    int order = daemon.compareTo(other.daemon);
    return order != 0 ? order : Long.compare(incarnation, other.incarnation);
  }
}
