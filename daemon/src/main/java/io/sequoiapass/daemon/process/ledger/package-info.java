/** Idempotency ledger: its membership, its messages, and the entry side of the protocol. */
package io.sequoiapass.daemon.process.ledger;
