package io.sequoiapass.gateway.spi;

/** What an endpoint made of an order. */
public enum OrderResult {
  /** It is being carried out. */
  ACCEPTED,
  /** It is done, or held before. */
  DONE,
  /** Another order is under way, or the sequence differs; nothing was done. */
  CONFLICT,
  /** The endpoint has seen a higher fencing number; nothing was done. */
  FENCED,
  /** Another endpoint answers at the address; nothing was done. */
  WRONG_ENDPOINT,
  /** The endpoint refused the order for another reason; nothing was done. */
  REFUSED,
  /** No answer came: the order may have been accepted, or may be later. */
  UNKNOWN
}
