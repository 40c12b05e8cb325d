/** The link between two daemons: MessagePack frames on TCP. */
package io.sequoiapass.daemon.connection.peer;
