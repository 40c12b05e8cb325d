package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.WorkspaceId;

/**
 * What callers of one workspace asked of one daemon since its last report.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param workspace the workspace
 * @param asked units of all its requests
 * @param admitted units of those that were admitted
 */
public record WorkspaceUsage(WorkspaceId workspace, long asked, long admitted) {}
