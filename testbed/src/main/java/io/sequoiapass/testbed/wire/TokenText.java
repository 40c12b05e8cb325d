package io.sequoiapass.testbed.wire;

/**
 * Text of the tokens that the engine stand-in produces.
 *
 * <p>The text contains adapter, version, request and index, so a token of a wrong adapter or
 * request is recognisable by its text alone.
 */
public final class TokenText {

  private TokenText() {}

  /**
   * Returns the text of one token.
   *
   * @param adapter the adapter that produced it
   * @param version the adapter's version
   * @param requestId the request it belongs to
   * @param index the token's index in the answer, from 0
   */
  public static String of(String adapter, String version, String requestId, int index) {
    return adapter + "@" + version + "/" + requestId + "#" + index + " ";
  }
}
