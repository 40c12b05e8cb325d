package io.sequoiapass.coordination.connection;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;

/**
 * Collects evidence on an endpoint that has begun to answer a request and is silent since.
 *
 * <p>Silence alone is no evidence: sound endpoints may be silent, also all of them at once, and
 * continue. So the endpoint and some others are asked at the same time, over new connections, and
 * only what distinguishes it from them counts. If it answers, what its runs have made since its
 * last answer shows whether this one is stuck, or its connection lost.
 *
 * <pre>{@code
 * SilenceInquiry inquiry = new SilenceInquiry("request-1");
 * if (inquiry.compare(reply, List.of(Answer.GIVEN, Answer.GIVEN)).isAgainst()) {
 *   leave();
 * }
 * }</pre>
 *
 * <p>One instance serves one silence of one request. Not safe for use by several threads.
 */
public final class SilenceInquiry {

  /** How an endpoint reacts to a question. */
  public enum Answer {
    /** It answers. */
    GIVEN,
    /** Nothing arrives in time, or the connection does not open in time. */
    NONE,
    /** It refuses the connection, or another process answers in its place. */
    REFUSED,
    /** It closes the connection, as it does when it has too many; it is alive. */
    CLOSED
  }

  /** What the answers show. */
  public enum Evidence {
    /** Nothing: too few of those that were asked at the same time have answered. */
    NONE(false),
    /** The endpoint answers, and nothing shows that it could proceed with this run. */
    SOUND(false),
    /** The endpoint refuses connections, and others answer. */
    REFUSES(true),
    /** The endpoint does not answer, and most of the others do. */
    UNANSWERED(true),
    /** The endpoint answers, but what the run makes does not arrive, or it has no such run. */
    RUN_LOST(true),
    /** The endpoint answers and has nothing else to do, but the run makes nothing. */
    RUN_STUCK(true);

    private final boolean against;

    Evidence(boolean against) {
      this.against = against;
    }

    /** Returns whether the request may leave the endpoint. */
    public boolean isAgainst() {
      return against;
    }
  }

  /**
   * The reply of the silent endpoint.
   *
   * @param answer how it reacts
   * @param work what it works on; empty if it does not state that
   */
  public record Reply(Answer answer, Optional<Work> work) {}

  /**
   * What an endpoint works on.
   *
   * @param runs how many events each of its runs has made, by the request's id
   * @param waiting number of other requests that it has accepted, which have not made any
   */
  public record Work(Map<String, Long> runs, int waiting) {

    /** Copies the runs. */
    public Work {
      runs = Map.copyOf(runs);
    }

    private boolean hasOnly(String run) {
      return runs.size() == 1 && runs.containsKey(run) && waiting == 0;
    }

    private boolean hasGrown(String run, Work earlier) {
      return runs.containsKey(run)
          && earlier.runs.containsKey(run)
          && runs.get(run) > earlier.runs.get(run);
    }
  }

  private final String requestId;
  private Optional<Work> before = Optional.empty();

  /**
   * Creates an inquiry without answers.
   *
   * @param requestId the id of the request, by which the endpoint names the run
   */
  public SilenceInquiry(String requestId) {
    this.requestId = requestId;
  }

  /**
   * Returns what the answers of one round show, with those of the round before.
   *
   * @param reply the reply of the silent endpoint
   * @param others how the others react, which were asked at the same time
   */
  public Evidence compare(Reply reply, Collection<Answer> others) {
    return switch (reply.answer()) {
      case GIVEN -> reply.work().map(this::ofRun).orElse(Evidence.SOUND);
      case CLOSED -> Evidence.NONE;
      case REFUSED -> others.contains(Answer.GIVEN) ? Evidence.REFUSES : Evidence.NONE;
      case NONE -> haveMostlyAnswered(others) ? Evidence.UNANSWERED : Evidence.NONE;
    };
  }

  private Evidence ofRun(Work now) {
    Work earlier = before.orElse(null);
    before = Optional.of(now);
    if (earlier == null) {
      return Evidence.SOUND;
    }
    // A run that waits may be missing, so only an endpoint where nothing waits has lost it.
    boolean isMissing = isMissing(now) && isMissing(earlier);
    if (isMissing || now.hasGrown(requestId, earlier)) {
      return Evidence.RUN_LOST;
    }
    // Beside others, a run may be preempted, and waits at a sound endpoint.
    boolean isAlone = now.hasOnly(requestId) && earlier.hasOnly(requestId);
    return isAlone ? Evidence.RUN_STUCK : Evidence.SOUND;
  }

  private boolean isMissing(Work work) {
    return !work.runs().containsKey(requestId) && work.waiting() == 0;
  }

  private static boolean haveMostlyAnswered(Collection<Answer> others) {
    long answered = others.stream().filter(answer -> answer == Answer.GIVEN).count();
    return 2 * answered > others.size();
  }
}
