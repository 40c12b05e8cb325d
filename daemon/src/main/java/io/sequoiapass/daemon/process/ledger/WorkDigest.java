package io.sequoiapass.daemon.process.ledger;

import io.sequoiapass.daemon.connection.peer.ForwardedWork;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.apache.commons.codec.binary.Hex;
import org.apache.commons.codec.digest.DigestUtils;

/** Digest of a request's work, used to detect an idempotency key reused with another body. */
final class WorkDigest {

  private static final byte SEPARATOR = 0;

  private WorkDigest() {}

  static String of(ForwardedWork work) {
    MessageDigest digest = DigestUtils.getSha256Digest();
    if (work instanceof ForwardedWork.Completion completion) {
      add(digest, completion.adapter().toString());
      add(digest, completion.prompt());
      add(digest, Integer.toString(completion.maxTokens()));
    } else if (work instanceof ForwardedWork.ServiceCall call) {
      add(digest, call.method());
      add(digest, call.path());
      digest.update(call.body());
    }
    return Hex.encodeHexString(digest.digest());
  }

  private static void add(MessageDigest digest, String text) {
    digest.update(text.getBytes(StandardCharsets.UTF_8));
    digest.update(SEPARATOR);
  }
}
