/** Interfaces that a deployment implements: settings, protocols and the store. No policy. */
package io.sequoiapass.gateway.spi;
