package io.sequoiapass.daemon.connection.engine;

/** Thrown when an engine refuses an order. */
public final class EngineOrderException extends Exception {

  private static final long serialVersionUID = 1L;

  private final EngineRefusal refusal;

  EngineOrderException(EngineRefusal refusal) {
    super("refused: " + refusal);
    this.refusal = refusal;
  }

  /** Returns the reason for the refusal. */
  public EngineRefusal refusal() {
    return refusal;
  }
}
