package io.sequoiapass.testbed.standin;

import io.netty.channel.EventLoopGroup;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.testbed.cli.Flags;
import io.sequoiapass.testbed.cli.UsageException;

/** Types of stand-ins with their flags. */
public enum StandInKind {
  /** The platform's object API and host list. */
  PLATFORM {
    @Override
    Flags.Definition definition() {
      return withPort()
          .flag("hosts-lag-ms", "1000", "delay before a change of the host list is visible")
          .flag("writes-per-second", "300", "rate limit of writes")
          .flag("reads-per-second", "2000", "rate limit of reads and watches")
          .flag("history", "10000", "number of changes kept for watches")
          .flag("seed", "1", "seed of lost answers");
    }

    @Override
    AuditedHandler create(Flags flags, EventLoopGroup loop) throws UsageException {
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
    AuditedHandler create(Flags flags, EventLoopGroup loop) throws UsageException {
      return new EngineStandIn(EngineSettings.of(flags), loop.next(), MillisClock.monotonic());
    }
  },
  /** A plain service. */
  SERVICE {
    @Override
    Flags.Definition definition() {
      return withPort()
          .flag("id", "service", "the endpoint's name")
          .flag("work-ms", "5", "duration of a call");
    }

    @Override
    AuditedHandler create(Flags flags, EventLoopGroup loop) throws UsageException {
      return new ServiceStandIn(flags.text("id"), flags.integer("work-ms", 0, 60_000), loop.next());
    }
  },
  /** The weight store. */
  WEIGHTS {
    @Override
    Flags.Definition definition() {
      return withPort()
          .flag("load-ms", "250", "duration of a load when no other runs")
          .flag("seed", "1", "seed of failed loads");
    }

    @Override
    AuditedHandler create(Flags flags, EventLoopGroup loop) throws UsageException {
      return new WeightStoreStandIn(
          flags.integer("load-ms", 1, 600_000),
          flags.integer("seed", 0, Integer.MAX_VALUE),
          loop.next());
    }
  };

  abstract Flags.Definition definition();

  abstract AuditedHandler create(Flags flags, EventLoopGroup loop) throws UsageException;

  /** Returns the help text, one line for each flag. */
  public String help() {
    return definition().help();
  }

  private static Flags.Definition withPort() {
    return Flags.define().flag("port", "0", "port to listen on, 0 for any free one");
  }
}
