package io.sequoiapass.gateway.process;

import io.sequoiapass.gateway.spi.HostSettings;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.function.Function;

/** The settings of a daemon, each with whether a change takes effect without a restart. */
enum HostSetting {
  DAEMON(HostSettings::daemon),
  DATA_CENTRE(HostSettings::dataCentre),
  REGIONS(HostSettings::regions),
  CALLERS(HostSettings::callers),
  READINESS(HostSettings::readiness),
  LINKS(HostSettings::links),
  PEERS(HostSettings::peers),
  STORE(HostSettings::store),
  ENDPOINT_SOURCE(HostSettings::endpointSource),
  CORES(HostSettings::cores),
  LINK_RATE(HostSettings::linkBytesPerS),
  /** The coordinator's state of the shared budget is kept for one set of terms. */
  RETRY_BUDGET(settings -> settings.bounds().retryTerms()),
  /** The counts of usage are kept for one length of a window. */
  USAGE_WINDOW(settings -> settings.bounds().usageWindowMs()),
  /** Decides which feeds of the store are opened. */
  REVOCATION(settings -> settings.bounds().revocationMs()),
  GRACE(settings -> settings.bounds().graceMs(), true),
  DRAIN(settings -> settings.bounds().drainMs(), true),
  LEASE(settings -> settings.bounds().leaseMs(), true),
  ADAPTER_VERSION(settings -> settings.bounds().versionMs(), true),
  MODEL_LOADS(settings -> settings.bounds().loadWindowMs(), true),
  FENCING(settings -> settings.bounds().fenced(), true),
  CONFIGURATION(settings -> settings.bounds().configurationMs(), true);

  // The functions are stateless; the checker sees only the declared type Function.
  @SuppressWarnings("ImmutableEnumChecker")
  private final Function<HostSettings, Object> value;

  private final boolean isApplied;

  HostSetting(Function<HostSettings, Object> value) {
    this(value, false);
  }

  HostSetting(Function<HostSettings, Object> value, boolean isApplied) {
    this.value = value;
    this.isApplied = isApplied;
  }

  /** Returns whether a running daemon applies a change; otherwise it takes a restart. */
  boolean isApplied() {
    return isApplied;
  }

  /** Returns the settings that differ. */
  static List<HostSetting> changed(HostSettings before, HostSettings after) {
    return Arrays.stream(values())
        .filter(setting -> !Objects.equals(setting.value.apply(before), setting.value.apply(after)))
        .toList();
  }

  /** Returns the name that logs contain. */
  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT);
  }
}
