package io.sequoiapass.daemon.connection.engine;

/** Tells that an engine refused an order. */
public final class EngineOrderException extends Exception {

  private static final long serialVersionUID = 1L;

  private final EngineRefusal refusal;

  EngineOrderException(EngineRefusal refusal) {
    super("refused: " + refusal);
    this.refusal = refusal;
  }

  /** Returns why. */
  public EngineRefusal refusal() {
    return refusal;
  }
}
