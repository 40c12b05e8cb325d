package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.WorkspaceId;

/**
 * The share of a workspace's requests, by units, that daemons may admit.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param workspace the workspace
 * @param share from 0 (none) to 1 (all)
 */
public record WorkspaceShare(WorkspaceId workspace, double share) {}
