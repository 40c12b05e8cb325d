package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.List;
import java.util.Optional;

/**
 * What an engine is asked to generate.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param model the base model
 * @param adapter the adapter; empty for the base model alone
 * @param promptTokens tokens of the prompt
 * @param maxOutputTokens the most tokens of the answer
 * @param parts the parts of the prompt in their order; requests share leading parts
 */
public record Generation(
    ModelId model,
    Optional<AdapterName> adapter,
    int promptTokens,
    int maxOutputTokens,
    List<PromptPart> parts) {

  /** Share of the stated most that an answer usually has. */
  private static final double USUAL_SHARE = 0.8;

  /**
   * One part of a prompt.
   *
   * @param id names the part; equal names hold equal tokens
   * @param tokens its length
   */
  public record PromptPart(String id, int tokens) {}

  /** Copies the parts. */
  public Generation {
    parts = List.copyOf(parts);
  }

  /**
   * Returns how long the answer is likely to be, in tokens. Callers state the most that they take;
   * most answers stay below it.
   */
  public long expectedOutputTokens() {
    return Math.round(maxOutputTokens * USUAL_SHARE);
  }

  /** Returns the memory that the whole run takes at an engine, in tokens. */
  public long memoryTokens() {
    return (long) promptTokens + maxOutputTokens;
  }
}
