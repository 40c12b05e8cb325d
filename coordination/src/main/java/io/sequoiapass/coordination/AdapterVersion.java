package io.sequoiapass.coordination;

import java.util.Objects;

/**
 * Identifier of an adapter at one version, which is what a request runs on and what an adapter slot
 * of an engine holds.
 *
 * <pre>{@code
 * AdapterVersion notes = AdapterVersion.parse("bale-notes@v7");
 * }</pre>
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param adapter the adapter
 * @param version its version
 */
public record AdapterVersion(AdapterId adapter, VersionId version)
    implements Comparable<AdapterVersion> {

  /** Separates adapter and version in the text form. */
  public static final char SEPARATOR = '@';

  /** Checks that neither part is null. */
  public AdapterVersion {
    Objects.requireNonNull(adapter, "adapter");
    Objects.requireNonNull(version, "version");
  }

  /**
   * Parses a text of the form {@code adapter@version}.
   *
   * @param text the text
   * @throws IllegalArgumentException if a part is missing or invalid
   */
  public static AdapterVersion parse(String text) {
    int at = text.lastIndexOf(SEPARATOR);
    if (at <= 0 || at == text.length() - 1) {
      throw new IllegalArgumentException("not of the form adapter@version: " + text);
    }
    return new AdapterVersion(
        new AdapterId(text.substring(0, at)), new VersionId(text.substring(at + 1)));
  }

  @Override
  public int compareTo(AdapterVersion other) {
    int order = adapter.compareTo(other.adapter);
    return order != 0 ? order : version.compareTo(other.version);
  }

  @Override
  public String toString() {
    return adapter.value() + SEPARATOR + version.value();
  }
}
