package io.sequoiapass.testbed.policy;

/** Part of the time that a request waits while its adapter is not loaded. */
enum StallPart {
  /** Until the successful load began, including failed loads before it. */
  TURN,
  /** Load in progress: the part that a load takes without contention. */
  TRANSFER,
  /** Load in progress: the additional time due to other loads that share the weight store. */
  OVERLAP,
  /** The total time to the deadline of a request that was refused or missed its deadline. */
  LOST
}
