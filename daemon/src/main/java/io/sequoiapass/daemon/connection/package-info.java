/**
 * What lives for one connection: HTTP with callers, endpoints and the platform; frames with peers.
 */
package io.sequoiapass.daemon.connection;
