package io.sequoiapass.gateway.process;

/**
 * The size of a request that waits for an adapter.
 *
 * @param promptTokens number of prompt tokens
 * @param outputTokens expected number of output tokens
 */
record RequestSize(long promptTokens, long outputTokens) {}
