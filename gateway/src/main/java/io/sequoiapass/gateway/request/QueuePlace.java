package io.sequoiapass.gateway.request;

/**
 * The place of one request in a coordinator's queue for adapter slots. Safe for use by several
 * threads; ends once, and later calls have no effect.
 */
public interface QueuePlace {

  /** The place of a request that is not queued. */
  QueuePlace NONE =
      new QueuePlace() {
        @Override
        public void settled() {}

        @Override
        public void release() {}
      };

  /** Ends the place because the coordinator has removed the load from its queue, or will. */
  void settled();

  /** Ends the place because the request does not wait for the load any more; must not block. */
  void release();
}
