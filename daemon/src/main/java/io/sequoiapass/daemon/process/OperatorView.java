package io.sequoiapass.daemon.process;

import io.sequoiapass.daemon.process.timeline.TimelineQuery;

/** Operations of the operators' API; safe for use by several threads. */
interface OperatorView {

  /** Returns whether the daemon accepts requests. */
  boolean ready();

  /** Returns all metrics as JSON. */
  String metrics();

  /** Returns the daemon's status as JSON. */
  String status();

  /** Returns the timeline events that a query selects, as JSON. */
  String timeline(TimelineQuery query);

  /** Begins a planned stop. */
  void drain();
}
