package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.OperationId;
import io.sequoiapass.coordination.version.WriteAnswer;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Platform of a simulated data centre: one revision counter and conditional writes. */
final class SimulatedPlatform {

  record Stored(long version, OperationId operation, Object value) {}

  private final Map<String, Stored> objects = new HashMap<>();
  private long revision;
  boolean out;

  Optional<Stored> read(String name) {
    return Optional.ofNullable(objects.get(name));
  }

  WriteAnswer write(String name, OperationId operation, long expected, Object value) {
    Stored present = objects.get(name);
    long version = present == null ? 0 : present.version();
    if (version != expected) {
      return new WriteAnswer.Conflict(version, Optional.ofNullable(present).map(Stored::operation));
    }
    revision++;
    objects.put(name, new Stored(revision, operation, value));
    return new WriteAnswer.Stored(revision);
  }

  OwnershipTable table() {
    return read(SimulatedDataCentre.TABLE)
        .map(stored -> ((OwnershipTable) stored.value()).withVersion(stored.version()))
        .orElse(OwnershipTable.EMPTY);
  }
}
