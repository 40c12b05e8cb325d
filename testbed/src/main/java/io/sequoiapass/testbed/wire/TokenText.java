package io.sequoiapass.testbed.wire;

/**
 * Gives the text of each token of the engine stand-in.
 *
 * <p>The text tells adapter, version, request and index, so that a reader sees by the text alone
 * when a token belongs to another adapter or another request.
 */
public final class TokenText {

  private TokenText() {}

  /**
   * Returns the text of one token.
   *
   * @param adapter the adapter that made it
   * @param version the adapter's version
   * @param requestId the request it was made for
   * @param index the token's place in the answer, from 0
   */
  public static String of(String adapter, String version, String requestId, int index) {
    return adapter + "@" + version + "/" + requestId + "#" + index + " ";
  }
}
