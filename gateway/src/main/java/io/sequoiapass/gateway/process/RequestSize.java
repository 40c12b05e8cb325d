package io.sequoiapass.gateway.process;

/**
 * The size of the request for which an adapter is wanted.
 *
 * @param promptTokens tokens of its prompt
 * @param outputTokens tokens of its answer, as far as known
 */
record RequestSize(long promptTokens, long outputTokens) {}
