package io.sequoiapass.daemon.process.ownership;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.OperationId;
import io.sequoiapass.coordination.process.OwnershipProposal;
import io.sequoiapass.coordination.process.OwnershipTable;
import io.sequoiapass.coordination.version.WriteAnswer;
import io.sequoiapass.daemon.connection.platform.PlatformClient;
import io.sequoiapass.daemon.connection.platform.StoredObject;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

/**
 * Reads and writes leases and one data centre's ownership table on the platform.
 *
 * <p>Safe for use by several threads.
 */
final class OwnershipCalls {

  private static final String LEASE = "lease";
  private static final String OWNERSHIP = "ownership";

  private final PlatformClient platform;
  private final DataCentreId dataCentre;

  OwnershipCalls(PlatformClient platform, DataCentreId dataCentre) {
    this.platform = Objects.requireNonNull(platform, "platform");
    this.dataCentre = Objects.requireNonNull(dataCentre, "dataCentre");
  }

  CompletableFuture<OwnershipTable> readTable() {
    return platform.read(OWNERSHIP, dataCentre.value()).thenApply(LeaseCodec::table);
  }

  CompletableFuture<WriteAnswer> write(OwnershipProposal proposal) {
    return platform.put(
        OWNERSHIP,
        dataCentre.value(),
        LeaseCodec.json(proposal.table()),
        proposal.expectedVersion(),
        proposal.operation());
  }

  /** Returns the version of a daemon's lease object; 0 if there is none. */
  CompletableFuture<Long> readLeaseVersion(DaemonId holder) {
    return platform
        .read(LEASE, holder.value())
        .thenApply(stored -> stored.map(StoredObject::version).orElse(0L));
  }

  /** Deletes a lease object if it still has the given version. */
  CompletableFuture<Void> deleteLease(DaemonId holder, long version, OperationId operation) {
    return platform.delete(LEASE, holder.value(), version, operation).thenAccept(answer -> {});
  }
}
