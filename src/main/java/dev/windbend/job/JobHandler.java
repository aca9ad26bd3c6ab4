package dev.windbend.job;

import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.HttpStatus;
import dev.windbend.runtime.Json;
import dev.windbend.runtime.ServerRequest;
import dev.windbend.runtime.ServerResponse;
import dev.windbend.store.Replica;
import dev.windbend.store.StoreClient;
import dev.windbend.store.TransactionBuilder;
import dev.windbend.store.TransactionOutcome;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles the requests of users; every controller serves them. The response is based on a record
 * that was just read from the state service or written to it, so that no controller returns an
 * older record than another one has returned. Task counts come from the replica and may lag.
 */
public final class JobHandler {
  private static final Logger LOG = LoggerFactory.getLogger(JobHandler.class);
  private static final String JOBS_PATH = "/v1/jobs";
  private static final int MAX_CANCEL_ATTEMPTS = 8;
  private static final String TOO_LARGE = "names of image and machine types too long to be stored";

  private final EventLoop loop;
  private final StoreClient store;
  private final AdmissionPolicy admission;
  private final ArrayDeque<PendingSubmission> pendingSubmissions = new ArrayDeque<>();
  private final JobLookup lookup;
  private final JobProgress progress;
  private final Cancellations cancellations;
  private final Consumer<Cancellations.Cancelled> cancellationBroadcaster;
  private final Function<JobSpec, String> pendingReason;
  private boolean writeInProgress;

  /** An admitted submission that is not stored yet. */
  private record PendingSubmission(JobRecord.Live record, Consumer<ServerResponse> done) {
    String uid() {
      return record.spec().uid();
    }
  }

  /**
   * Creates a handler.
   *
   * @param cancellationBroadcaster sends a cancellation to the other controllers, whose replicas
   *     may lack it; the response to the user does not wait for this
   * @param pendingReason returns the reason why a job is pending, for its user; null if it waits
   *     only for its turn
   */
  public JobHandler(
      EventLoop loop,
      StoreClient store,
      Replica replica,
      JobProgress progress,
      Cancellations cancellations,
      Consumer<Cancellations.Cancelled> cancellationBroadcaster,
      AdmissionPolicy admission,
      Function<JobSpec, String> pendingReason) {
    this.loop = loop;
    this.store = store;
    this.lookup = new JobLookup(loop, store, replica);
    this.progress = progress;
    this.cancellations = cancellations;
    this.cancellationBroadcaster = cancellationBroadcaster;
    this.admission = admission;
    this.pendingReason = pendingReason;
  }

  /** Returns whether this handler serves the path. */
  public static boolean handlesPath(String path) {
    return path.equals(JOBS_PATH) || path.startsWith(JOBS_PATH + "/");
  }

  /** Returns whether the request submits a job. */
  public static boolean isSubmission(ServerRequest request) {
    return request.path().equals(JOBS_PATH);
  }

  /**
   * Handles one request.
   *
   * @param done receives the response exactly once, during this call or later
   */
  public void handle(ServerRequest request, Consumer<ServerResponse> done) {
    String rest = request.path().substring(JOBS_PATH.length());
    if (rest.isEmpty()) {
      requireMethod("POST", request, done, () -> submit(request.body(), done));
      return;
    }
    String[] segments = rest.substring(1).split("/", -1);
    if (segments.length == 1) {
      requireMethod("GET", request, done, () -> respondWithStatus(segments[0], done));
    } else if (segments.length == 2 && segments[1].equals("cancel")) {
      requireMethod("POST", request, done, () -> cancel(segments[0], MAX_CANCEL_ATTEMPTS, done));
    } else {
      done.accept(ServerResponse.ofStatus(HttpStatus.NOT_FOUND));
    }
  }

  private static void requireMethod(
      String method, ServerRequest request, Consumer<ServerResponse> done, Runnable handler) {
    if (request.method().equals(method)) {
      handler.run();
    } else {
      done.accept(ServerResponse.ofStatus(HttpStatus.METHOD_NOT_ALLOWED));
    }
  }

  private void submit(byte[] body, Consumer<ServerResponse> done) {
    JobSpec spec;
    try {
      spec = SubmissionValidator.parse(body);
    } catch (SubmissionValidator.MalformedSubmissionException e) {
      respondToMalformed(e, done);
      return;
    }
    Admission decision = admission.decide(spec);
    if (decision instanceof Admission.Undecided) {
      done.accept(ServerResponse.retryAfter(1));
      return;
    }
    if (decision instanceof Admission.Rejected rejected) {
      respondToRejected(
          spec.uid(), problemResponse(HttpStatus.UNPROCESSABLE_CONTENT, rejected.reason()), done);
      return;
    }
    JobRecord.Live record = new JobRecord.Live(spec, loop.wallMs(), false);
    if (Json.write(record).length > admission.maxRecordBytes()) {
      respondToRejected(spec.uid(), problemResponse(HttpStatus.BAD_REQUEST, TOO_LARGE), done);
      return;
    }
    pendingSubmissions.add(new PendingSubmission(record, done));
    writeSubmissions();
  }

  private void respondToMalformed(
      SubmissionValidator.MalformedSubmissionException malformed, Consumer<ServerResponse> done) {
    ServerResponse rejection = problemResponse(HttpStatus.BAD_REQUEST, malformed.getMessage());
    malformed
        .uid()
        .ifPresentOrElse(
            uid -> respondToRejected(uid, rejection, done), () -> done.accept(rejection));
  }

  /**
   * Responds to a rejected submission. A job that already exists stays accepted and its status is
   * returned: the machine types or the teams may have changed since it was accepted.
   */
  private void respondToRejected(
      String uid, ServerResponse rejection, Consumer<ServerResponse> done) {
    lookup.find(
        uid,
        result -> {
          if (!result.conclusive()) {
            done.accept(ServerResponse.retryAfter(1));
          } else if (result.liveValue() == null && result.ended() == null) {
            done.accept(rejection);
          } else {
            done.accept(statusResponse(uid, result));
          }
        });
  }

  /**
   * Writes the pending submissions as a group commit. Submissions that arrive while a transaction
   * is in progress are written together by the next one.
   */
  private void writeSubmissions() {
    if (writeInProgress || pendingSubmissions.isEmpty()) {
      return;
    }
    List<PendingSubmission> submissions = takeSubmissions();
    TransactionBuilder transaction = new TransactionBuilder();
    for (PendingSubmission submission : submissions) {
      String liveKey = JobRecord.LIVE_PREFIX + submission.uid();
      transaction.ifAbsent(liveKey).ifAbsent(JobRecord.ENDED_PREFIX + submission.uid());
      transaction.put(liveKey, submission.record());
    }
    writeInProgress = true;
    store.commitForUser(
        transaction,
        outcome -> {
          writeInProgress = false;
          submissions.forEach(submission -> respondToSubmission(submission, outcome));
          writeSubmissions();
        });
  }

  /** Takes as many pending submissions of different jobs as one transaction may write. */
  private List<PendingSubmission> takeSubmissions() {
    List<PendingSubmission> submissions = new ArrayList<>();
    Set<String> uids = new HashSet<>();
    while (!pendingSubmissions.isEmpty()
        && submissions.size() < store.maxWritesPerTransaction()
        // A repeated submission waits: the next transaction finds the job stored.
        && uids.add(pendingSubmissions.peek().uid())) {
      submissions.add(pendingSubmissions.poll());
    }
    return submissions;
  }

  private void respondToSubmission(PendingSubmission submission, TransactionOutcome outcome) {
    switch (outcome.kind()) {
      case APPLIED -> respondAccepted(submission, outcome.revision());
      case CONDITION_FAILED -> {
        if (outcome.failedKeys().contains(JobRecord.LIVE_PREFIX + submission.uid())
            || outcome.failedKeys().contains(JobRecord.ENDED_PREFIX + submission.uid())) {
          respondWithStatus(submission.uid(), submission.done());
        } else {
          pendingSubmissions.add(submission);
        }
      }
      default -> {
        LOG.debug("submission not stored: job={} outcome={}", submission.uid(), outcome.kind());
        submission.done().accept(ServerResponse.retryAfter(1));
      }
    }
  }

  private static void respondAccepted(PendingSubmission submission, long revision) {
    LOG.info("job accepted: job={} revision={}", submission.uid(), revision);
    UserMessages.Status status =
        UserMessages.Status.of(submission.uid(), JobStatus.PENDING, null, null);
    submission.done().accept(ServerResponse.of(HttpStatus.CREATED, status));
  }

  private void respondWithStatus(String uid, Consumer<ServerResponse> done) {
    if (!SubmissionValidator.isUid(uid)) {
      done.accept(ServerResponse.ofStatus(HttpStatus.NOT_FOUND));
      return;
    }
    lookup.find(uid, result -> done.accept(statusResponse(uid, result)));
  }

  private void cancel(String uid, int attemptsLeft, Consumer<ServerResponse> done) {
    if (!SubmissionValidator.isUid(uid)) {
      done.accept(ServerResponse.ofStatus(HttpStatus.NOT_FOUND));
      return;
    }
    lookup.find(
        uid,
        result -> {
          JobRecord.Live live = result.liveRecord();
          if (live == null || live.cancelled()) {
            done.accept(statusResponse(uid, result));
            return;
          }
          String key = JobRecord.LIVE_PREFIX + uid;
          TransactionBuilder transaction =
              new TransactionBuilder().ifVersion(key, result.liveValue().version());
          transaction.put(key, new JobRecord.Live(live.spec(), live.submittedWallMs(), true));
          store.commitForUser(
              transaction,
              outcome -> {
                if (outcome.applied()) {
                  LOG.info("job cancellation stored: job={} revision={}", uid, outcome.revision());
                  confirmCancellation(uid, outcome.revision());
                  done.accept(
                      ServerResponse.of(
                          HttpStatus.OK,
                          UserMessages.Status.of(uid, JobStatus.CANCELLED, null, null)));
                } else if (outcome.kind() == TransactionOutcome.Kind.CONDITION_FAILED
                    && attemptsLeft > 1) {
                  cancel(uid, attemptsLeft - 1, done);
                } else {
                  done.accept(ServerResponse.retryAfter(1));
                }
              });
        });
  }

  private ServerResponse statusResponse(String uid, JobLookup.Result result) {
    LOG.debug(
        "job read for a response: job={} conclusive={} live_version={} ended={}",
        uid,
        result.conclusive(),
        result.liveValue() == null ? 0 : result.liveValue().version(),
        result.ended() != null);
    if (!result.conclusive()) {
      return ServerResponse.retryAfter(1);
    }
    if (result.ended() != null) {
      return ServerResponse.of(
          HttpStatus.OK,
          UserMessages.Status.of(uid, result.ended().status(), result.ended().completedTasks(), 0));
    }
    if (result.liveValue() == null) {
      return ServerResponse.ofStatus(HttpStatus.NOT_FOUND);
    }
    JobRecord.Live live = result.liveRecord();
    if (live == null) {
      return ServerResponse.retryAfter(1);
    }
    if (live.cancelled()) {
      confirmCancellation(uid, result.liveValue().version());
    }
    JobProgress.TaskCounts tasks = progress.taskCounts(uid);
    String status =
        live.cancelled()
            ? JobStatus.CANCELLED
            : tasks.running() > 0 ? JobStatus.RUNNING : JobStatus.PENDING;
    String reason = status.equals(JobStatus.PENDING) ? pendingReason.apply(live.spec()) : null;
    return ServerResponse.of(
        HttpStatus.OK,
        new UserMessages.Status(uid, status, tasks.completed(), tasks.running(), reason));
  }

  /** Records a cancellation that is confirmed to the user, and broadcasts it if it is new. */
  private void confirmCancellation(String uid, long revision) {
    if (cancellations.confirm(uid, revision)) {
      cancellationBroadcaster.accept(new Cancellations.Cancelled(uid, revision));
    }
  }

  private static ServerResponse problemResponse(int status, String reason) {
    return ServerResponse.of(status, new UserMessages.Problem(reason));
  }
}
