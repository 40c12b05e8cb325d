package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.DaemonId;

/**
 * An outgoing message of a {@link Ledger}; a message to its own daemon is passed back to the
 * ledger.
 *
 * @param to the receiver
 * @param message the message
 */
public record LedgerSend(DaemonId to, LedgerMessage message) {}
