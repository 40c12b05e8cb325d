package io.sequoiapass.gateway.spi;

/** Classifies an endpoint's answer, by status and headers, by what it proves about the run. */
public enum AnswerClass {
  /** A success that bears the endpoint's stamp. */
  SUCCESS,
  /** The endpoint ran the request and reports a failure. */
  RAN_AND_FAILED,
  /** The endpoint did not run the request: it is full, or the adapter is loading. */
  NOT_RUN_BUSY,
  /**
   * The endpoint did not run the request: it is not the addressed one, or does not hold the adapter
   * version.
   */
  NOT_RUN_ELSEWHERE,
  /**
   * The endpoint may have run the request, but the status of its answer would promise the caller
   * that it did not.
   */
  AMBIGUOUS,
  /** The answer does not come from the endpoint, or may be altered; the request may have run. */
  UNTRUSTED;

  /** Returns whether the answer certainly comes from the endpoint that the request was sent to. */
  public boolean isByEndpoint() {
    return this != NOT_RUN_ELSEWHERE && this != UNTRUSTED;
  }

  /** Returns whether the answer may be passed on to the caller. */
  public boolean isPassedOn() {
    return this == SUCCESS || this == RAN_AND_FAILED;
  }

  /** Returns whether the answer proves that the request did not run. */
  public boolean isNotRun() {
    return this == NOT_RUN_BUSY || this == NOT_RUN_ELSEWHERE;
  }
}
