package io.sequoiapass.gateway.spi;

/** The result of an order to an endpoint. */
public enum OrderResult {
  /** The order is in progress. */
  ACCEPTED,
  /** The order is done, or the endpoint was in the requested state already. */
  DONE,
  /** Another order is in progress, or the sequence differs; nothing was done. */
  CONFLICT,
  /** The endpoint has received a higher fencing number; nothing was done. */
  FENCED,
  /** Another endpoint answers at the address; nothing was done. */
  WRONG_ENDPOINT,
  /** The endpoint rejected the order for another reason; nothing was done. */
  REFUSED,
  /** No answer was received: the order may have been accepted, or may be accepted later. */
  UNKNOWN
}
