package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.OperationId;

/**
 * Conditional write of the ownership table requested by {@link OwnershipPlanner}.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param operation the identifier of the write
 * @param expectedVersion the version the object must have; 0 if it must not exist
 * @param table the new value; its version is set once it is stored
 */
public record OwnershipProposal(
    OperationId operation, long expectedVersion, OwnershipTable table) {}
