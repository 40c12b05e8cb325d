package io.sequoiapass.daemon.connection.engine;

import com.google.gson.annotations.SerializedName;

/**
 * Is the body of a completion call to an engine, as Gson writes it.
 *
 * @param requestId the request
 * @param attempt the attempt
 * @param adapter the adapter
 * @param version its version
 * @param handle the load to run on
 * @param prompt the prompt
 * @param maxTokens the most tokens to generate
 * @param priority 0 for the most urgent
 * @param resumeFrom index of the first token wanted
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
