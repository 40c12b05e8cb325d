/** What a deployment provides: settings, names, formats and calls. It decides nothing. */
package io.sequoiapass.gateway.spi;
