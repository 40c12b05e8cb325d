/** The record of idempotency keys: its members, its messages, and the entry's side of it. */
package io.sequoiapass.daemon.process.ledger;
