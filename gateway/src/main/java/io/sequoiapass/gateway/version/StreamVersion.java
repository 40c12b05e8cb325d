package io.sequoiapass.gateway.version;

import io.sequoiapass.coordination.ServiceId;

/**
 * The service and the version of its software that wrote the first events of a stream. Events of
 * two versions do not fit together, so the stream may continue only there.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param service the service
 * @param software the version of its software
 */
public record StreamVersion(ServiceId service, SoftwareVersion software) {}
