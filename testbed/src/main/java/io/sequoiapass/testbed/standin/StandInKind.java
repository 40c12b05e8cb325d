package io.sequoiapass.testbed.standin;

import io.netty.channel.EventLoopGroup;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.testbed.cli.Flags;
import io.sequoiapass.testbed.cli.UsageException;

/** Names what can be stood in for, each with its flags. */
public enum StandInKind {
  /** The platform's object API and host list. */
  PLATFORM {
    @Override
    Flags.Definition definition() {
      return withPort()
          .flag("hosts-lag-ms", "1000", "how long a change of the host list stays unseen")
          .flag("writes-per-second", "300", "writes taken a second")
          .flag("reads-per-second", "2000", "reads and watches taken a second")
          .flag("history", "10000", "changes kept for watches")
          .flag("seed", "1", "seed of lost answers");
    }

    @Override
    JudgedHandler create(Flags flags, EventLoopGroup loop) throws UsageException {
      return new PlatformStandIn(PlatformSettings.of(flags), loop.next(), MillisClock.monotonic());
    }
  },
  /** A model engine. */
  ENGINE {
    @Override
    Flags.Definition definition() {
      return EngineSettings.define(withPort());
    }

    @Override
    JudgedHandler create(Flags flags, EventLoopGroup loop) throws UsageException {
      return new EngineStandIn(EngineSettings.of(flags), loop.next(), MillisClock.monotonic());
    }
  },
  /** A plain service. */
  SERVICE {
    @Override
    Flags.Definition definition() {
      return withPort()
          .flag("id", "service", "the endpoint's name")
          .flag("work-ms", "5", "how long a call takes");
    }

    @Override
    JudgedHandler create(Flags flags, EventLoopGroup loop) throws UsageException {
      return new ServiceStandIn(flags.text("id"), flags.integer("work-ms", 0, 60_000), loop.next());
    }
  },
  /** The weight store. */
  WEIGHTS {
    @Override
    Flags.Definition definition() {
      return withPort()
          .flag("load-ms", "250", "how long one load takes when alone")
          .flag("seed", "1", "seed of failed loads");
    }

    @Override
    JudgedHandler create(Flags flags, EventLoopGroup loop) throws UsageException {
      return new WeightStoreStandIn(
          flags.integer("load-ms", 1, 600_000),
          flags.integer("seed", 0, Integer.MAX_VALUE),
          loop.next());
    }
  };

  abstract Flags.Definition definition();

  abstract JudgedHandler create(Flags flags, EventLoopGroup loop) throws UsageException;

  /** Returns a line for each flag. */
  public String help() {
    return definition().help();
  }

  private static Flags.Definition withPort() {
    return Flags.define().flag("port", "0", "port to listen on, 0 for any free one");
  }
}
