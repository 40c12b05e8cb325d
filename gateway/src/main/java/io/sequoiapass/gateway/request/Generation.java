package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.List;
import java.util.Optional;

/**
 * A text generation request to an engine.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param model the base model
 * @param adapter the adapter; empty for the base model alone
 * @param promptTokens length of the prompt, in tokens
 * @param maxOutputTokens the maximum length of the answer, in tokens
 * @param parts the parts of the prompt, in order; requests may share leading parts
 */
public record Generation(
    ModelId model,
    Optional<AdapterName> adapter,
    int promptTokens,
    int maxOutputTokens,
    List<PromptPart> parts) {

  /** Usual length of an answer, as a share of the maximum. */
  private static final double USUAL_SHARE = 0.8;

  /**
   * One part of a prompt.
   *
   * @param id the part's id; parts with equal ids have equal tokens
   * @param tokens its length, in tokens
   */
  public record PromptPart(String id, int tokens) {}

  /** Copies the parts. */
  public Generation {
    parts = List.copyOf(parts);
  }

  /** Returns the parts that other requests may have, too: all but the last. */
  public List<PromptPart> sharedParts() {
    return parts.subList(0, Math.max(0, parts.size() - 1));
  }

  /**
   * Returns the expected length of the answer, in tokens. Callers state a maximum; most answers
   * stay below it.
   */
  public long expectedOutputTokens() {
    return Math.round(maxOutputTokens * USUAL_SHARE);
  }

  /** Returns the key-value cache that the run needs at an engine, in tokens. */
  public long memoryTokens() {
    return (long) promptTokens + maxOutputTokens;
  }
}
