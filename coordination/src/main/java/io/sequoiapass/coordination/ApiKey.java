package io.sequoiapass.coordination;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * A secret with which callers identify their workspace, held only as a digest.
 *
 * <pre>{@code
 * Optional<Workspace> workspace = workspaces.find(ApiKey.of(presented));
 * }</pre>
 *
 * <p>The secret itself is not kept, so it cannot appear in a log line, a metric or a message, and
 * the time of a lookup does not depend on how much of a guess is right. Instances are immutable and
 * safe for use by several threads.
 */
public final class ApiKey {

  private static final String ALGORITHM = "SHA-256";

  /** Shown bits of the digest; enough to tell the keys of a workspace apart. */
  private static final int SHOWN_BITS = 32;

  private final long high;
  private final long low;

  private ApiKey(long high, long low) {
    this.high = high;
    this.low = low;
  }

  /**
   * Returns the key of a secret.
   *
   * @param secret the secret as the caller sent it or the operator configured it
   */
  public static ApiKey of(String secret) {
    try {
      ByteBuffer digest =
          ByteBuffer.wrap(
              MessageDigest.getInstance(ALGORITHM).digest(secret.getBytes(StandardCharsets.UTF_8)));
      return new ApiKey(digest.getLong(), digest.getLong());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
    }
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ApiKey key && key.high == high && key.low == low;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(high);
  }

  /** Returns the beginning of the digest. */
  @Override
  public String toString() {
    return String.format("key-%08x", high >>> (Long.SIZE - SHOWN_BITS));
  }
}
