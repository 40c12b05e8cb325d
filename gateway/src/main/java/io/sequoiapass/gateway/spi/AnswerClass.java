package io.sequoiapass.gateway.spi;

/** Sorts the first line and headers of an endpoint's answer by what they prove. */
public enum AnswerClass {
  /** A success that bears the endpoint's mark. */
  SUCCESS,
  /** A failure of the run, by the endpoint itself. */
  RAN_AND_FAILED,
  /** The endpoint did not run the request: it is full, or the adapter is on its way. */
  NOT_RUN_BUSY,
  /** The endpoint did not run the request: it is another one, or holds no such adapter version. */
  NOT_RUN_ELSEWHERE,
  /** Not an answer that the endpoint would give; the request may have run. */
  UNTRUSTED;

  /** Returns whether the answer proves that the request did not run. */
  public boolean isNotRun() {
    return this == NOT_RUN_BUSY || this == NOT_RUN_ELSEWHERE;
  }
}
