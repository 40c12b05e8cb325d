package io.sequoiapass.testbed.policy;

/** Cause of an adapter load, derived from the previous contents of the engines. */
enum LoadCause {
  /** No engine has held the adapter before: only a prefetch could have avoided the load. */
  FIRST,
  /** An engine held the adapter before, and evicted it or restarted. */
  AGAIN,
  /** Another engine holds or loads the adapter. */
  ELSEWHERE
}
