package io.sequoiapass.gateway.request;

/**
 * A request that a planned stop of the process may have to end. Implementations are safe for use by
 * several threads.
 */
public interface StoppableRequest {

  /** Dispatches the request if it waits. */
  void dispatchIfWaiting();

  /** Rejects the request if it waits and the process ends too early for it. */
  void rejectIfLate();

  /** Ends the request because the process ends. */
  void endForStop();
}
