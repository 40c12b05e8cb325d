package io.sequoiapass.daemon.process.owner;

import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.daemon.connection.engine.EngineRefusal;
import io.sequoiapass.daemon.process.placement.RefusalReason;

/** Maps reasons of refusals to error kinds. */
final class Refusals {

  private Refusals() {}

  static ErrorKind kindOf(RefusalReason reason) {
    return switch (reason) {
      case NO_ENDPOINT -> ErrorKind.NO_ENDPOINT;
      case OVERLOADED -> ErrorKind.OVERLOADED;
      case LOAD_FAILED -> ErrorKind.LOAD_FAILED;
      case DEADLINE_PASSED -> ErrorKind.DEADLINE_PASSED;
    };
  }

  static ErrorKind kindOf(EngineRefusal refusal) {
    return refusal == EngineRefusal.BUSY
        ? ErrorKind.OVERLOADED
        : ErrorKind.ENDPOINT_LOST_BEFORE_START;
  }
}
