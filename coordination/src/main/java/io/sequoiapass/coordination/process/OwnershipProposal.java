package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.OperationId;

/**
 * A conditional write of the ownership table that {@link OwnershipPlanner} asks for.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param operation the write's name
 * @param expectedVersion the version the object must have; 0 if it must not exist
 * @param table the value; its own version is not known yet
 */
public record OwnershipProposal(
    OperationId operation, long expectedVersion, OwnershipTable table) {}
