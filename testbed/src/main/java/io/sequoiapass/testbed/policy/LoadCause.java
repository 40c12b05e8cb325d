package io.sequoiapass.testbed.policy;

/** Why an adapter had to be loaded, as far as the engines' earlier contents tell. */
enum LoadCause {
  /** No engine has held it before: only a prefetch could have avoided the load. */
  FIRST,
  /** An engine held it and evicted it or restarted. */
  AGAIN,
  /** Another engine holds or loads it at this moment. */
  ELSEWHERE
}
