/** What lives for one request: its caller's side at the entry, its endpoint's side at the owner. */
package io.sequoiapass.daemon.request;
