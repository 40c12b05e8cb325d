package io.sequoiapass.gateway.spi;

import io.sequoiapass.gateway.process.PartKey;
import java.util.Set;

/**
 * The parts of prompts, and the requests, that crash endpoints. Coordinators keep it in the store,
 * where a process that has just started finds it.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param parts the keys
 */
public record VerdictRecord(Set<PartKey> parts) {

  /** The record before anything was written. */
  public static final VerdictRecord EMPTY = new VerdictRecord(Set.of());

  /** The name of the only object of its kind. */
  public static final String NAME = "parts";

  /** Copies the keys. */
  public VerdictRecord {
    parts = Set.copyOf(parts);
  }
}
