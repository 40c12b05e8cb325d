/** What lives for a version of the configuration: routes, services, adapter versions. */
package io.sequoiapass.gateway.version;
