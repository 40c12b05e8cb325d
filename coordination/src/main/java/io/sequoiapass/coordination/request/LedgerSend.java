package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.DaemonId;

/**
 * Is a message that a {@link Ledger} wants sent; one to its own daemon is handed back to it.
 *
 * @param to the receiver
 * @param message the message
 */
public record LedgerSend(DaemonId to, LedgerMessage message) {}
