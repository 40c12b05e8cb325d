package io.sequoiapass.testbed.policy;

/** What a request waits for while its adapter is not loaded. */
enum StallPart {
  /** The load that it ran on had not begun; failed loads before it count here. */
  TURN,
  /** The load was under way, as long as it takes alone. */
  TRANSFER,
  /** The load was under way, and longer since other loads shared the weight store. */
  OVERLAP,
  /** The request was refused or came too late: its whole time to the deadline. */
  LOST
}
