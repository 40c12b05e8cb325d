package io.sequoiapass.gateway.spi;

import java.util.Optional;

/**
 * One object of the platform's store.
 *
 * @param name its name
 * @param revision the store's revision at its last change
 * @param value its value; empty if it cannot be decoded
 * @param problem why the value cannot be decoded; empty string if it can
 * @param <T> the type of the value
 */
public record Stored<T>(String name, long revision, Optional<T> value, String problem) {}
