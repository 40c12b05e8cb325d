package io.sequoiapass.coordination.version;

import java.util.Comparator;
import java.util.Objects;

/**
 * Key of a configuration object.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param kind its kind
 * @param name its name within the kind
 */
public record ObjectKey(ObjectKind kind, String name) implements Comparable<ObjectKey> {

  private static final Comparator<ObjectKey> ORDER =
      Comparator.comparing(ObjectKey::kind).thenComparing(ObjectKey::name);

  /** Rejects a null kind and a blank name. */
  public ObjectKey {
    Objects.requireNonNull(kind, "kind");
    if (name == null || name.isBlank()) {
      throw new IllegalArgumentException("object name must not be blank: " + name);
    }
  }

  @Override
  public int compareTo(ObjectKey other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return kind.pathName() + "/" + name;
  }
}
