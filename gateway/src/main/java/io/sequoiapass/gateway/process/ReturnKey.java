package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.WorkspaceId;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.request.Generation;
import java.nio.charset.StandardCharsets;

/**
 * Key of a generation that is equal for its retries: a hash of the workspace, the adapter and the
 * last part of the prompt, which belongs to the request or its session.
 */
final class ReturnKey {

  /** Key of a generation whose retries cannot be recognized. */
  static final long NONE = 0;

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private ReturnKey() {}

  /** Returns the key of a generation, {@link #NONE} if its prompt has no parts. */
  static long of(Generation generation, Flow flow) {
    if (generation.parts().isEmpty()) {
      return NONE;
    }
    long hash = FNV_OFFSET;
    hash = add(hash, flow.workspace().map(WorkspaceId::value).orElse(""));
    hash = add(hash, generation.adapter().map(Object::toString).orElse(""));
    return add(hash, generation.parts().get(generation.parts().size() - 1).id());
  }

  private static long add(long hash, String text) {
    long result = hash;
    for (byte each : text.getBytes(StandardCharsets.UTF_8)) {
      result = (result ^ each) * FNV_PRIME;
    }
    // Separates the texts.
    return (result ^ 0xff) * FNV_PRIME;
  }
}
