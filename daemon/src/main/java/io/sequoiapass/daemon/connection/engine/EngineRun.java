package io.sequoiapass.daemon.connection.engine;

import com.google.gson.annotations.SerializedName;

/**
 * Body of a completion call to an engine, written by Gson.
 *
 * @param requestId the request ID
 * @param attempt the attempt number
 * @param adapter the adapter
 * @param version its version
 * @param handle the handle of the loaded adapter
 * @param prompt the prompt
 * @param maxTokens maximum number of tokens to generate
 * @param priority 0 for the most urgent
 * @param resumeFrom index of the first token to send
 */
public record EngineRun(
    @SerializedName("request_id") String requestId,
    int attempt,
    String adapter,
    String version,
    String handle,
    String prompt,
    @SerializedName("max_tokens") int maxTokens,
    int priority,
    @SerializedName("resume_from") int resumeFrom) {}
