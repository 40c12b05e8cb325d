/**
 * What lives as long as a connection to an endpoint: its circuit and how it compares with the
 * others.
 */
package io.sequoiapass.coordination.connection;
