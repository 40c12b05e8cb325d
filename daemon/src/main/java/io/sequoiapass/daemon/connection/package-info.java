/**
 * Connections: HTTP with callers, endpoints and the platform, and length-prefixed frames with
 * peers.
 */
package io.sequoiapass.daemon.connection;
