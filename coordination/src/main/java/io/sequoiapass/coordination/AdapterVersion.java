package io.sequoiapass.coordination;

import java.util.Objects;

/**
 * Names one adapter at one version: what a request runs on and what a slot of an engine holds.
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

  /** Stands between adapter and version in text. */
  public static final char SEPARATOR = '@';

  /** Checks that both parts are there. */
  public AdapterVersion {
    Objects.requireNonNull(adapter, "adapter");
    Objects.requireNonNull(version, "version");
  }

  /**
   * Returns the adapter version that a text of the form {@code adapter@version} names.
   *
   * @param text the text
   * @throws IllegalArgumentException if the text lacks a part
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
