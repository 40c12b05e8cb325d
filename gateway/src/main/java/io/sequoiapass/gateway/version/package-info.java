/** Model of a configuration version: routes, services, engines and adapter versions. */
package io.sequoiapass.gateway.version;
