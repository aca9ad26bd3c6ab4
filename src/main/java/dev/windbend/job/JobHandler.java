package dev.windbend.job;

import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.HttpStatus;
import dev.windbend.runtime.ServerRequest;
import dev.windbend.runtime.ServerResponse;
import dev.windbend.store.Replica;
import dev.windbend.store.StoreClient;
import dev.windbend.store.TransactionBuilder;
import dev.windbend.store.TransactionOutcome;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The users' API, on every node alike: what it answers is read from, or was just written to, the
 * state service, so no node can give an older answer than another has given.
 */
public final class JobHandler {
  private static final Logger LOG = LoggerFactory.getLogger(JobHandler.class);
  private static final String JOBS = "/v1/jobs";
  private static final int CANCEL_TRIES = 8;

  private final EventLoop loop;
  private final StoreClient store;
  private final AdmissionPolicy admission;
  private final ArrayDeque<Accepting> accepting = new ArrayDeque<>();
  private final JobLookup lookup;
  private final JobProgress progress;
  private final Cancellations cancellations;
  private final Consumer<Cancellations.Cancelled> tellOthers;
  private final Function<JobSpec, String> waitsFor;
  private boolean writing;

  private record Accepting(JobRecord.Live record, Consumer<ServerResponse> done) {}

  /**
   * @param tellOthers tells the other nodes of a cancellation that their mirrors may lack; the
   *     user's answer does not wait for it
   * @param waitsFor why a job waits, where its user should know; null: nothing to say
   */
  public JobHandler(
      EventLoop loop,
      StoreClient store,
      Replica replica,
      JobProgress progress,
      Cancellations cancellations,
      Consumer<Cancellations.Cancelled> tellOthers,
      AdmissionPolicy admission,
      Function<JobSpec, String> waitsFor) {
    this.loop = loop;
    this.store = store;
    this.lookup = new JobLookup(loop, store, replica);
    this.progress = progress;
    this.cancellations = cancellations;
    this.tellOthers = tellOthers;
    this.admission = admission;
    this.waitsFor = waitsFor;
  }

  public static boolean serves(String path) {
    return path.equals(JOBS) || path.startsWith(JOBS + "/");
  }

  public static boolean submits(ServerRequest request) {
    return request.path().equals(JOBS);
  }

  public void handle(ServerRequest request, Consumer<ServerResponse> done) {
    String rest = request.path().substring(JOBS.length());
    if (rest.isEmpty()) {
      only("POST", request, done, () -> submit(request.body(), done));
      return;
    }
    String[] segments = rest.substring(1).split("/", -1);
    if (segments.length == 1) {
      only("GET", request, done, () -> poll(segments[0], done));
    } else if (segments.length == 2 && segments[1].equals("cancel")) {
      only("POST", request, done, () -> cancel(segments[0], CANCEL_TRIES, done));
    } else {
      done.accept(ServerResponse.ofStatus(HttpStatus.NOT_FOUND));
    }
  }

  private static void only(
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
      spec = SubmissionValidator.read(body);
    } catch (SubmissionValidator.Malformed e) {
      done.accept(problem(HttpStatus.BAD_REQUEST, e.getMessage()));
      return;
    }
    Admission decision = admission.decide(spec);
    if (decision instanceof Admission.Undecided) {
      done.accept(ServerResponse.retryAfter(1));
      return;
    }
    if (decision instanceof Admission.Rejected rejected) {
      reject(spec.uid(), rejected, done);
      return;
    }
    accepting.add(new Accepting(new JobRecord.Live(spec, loop.wallMs(), false), done));
    write();
  }

  /** A job accepted when the machine types or the teams were others stays accepted. */
  private void reject(String uid, Admission.Rejected rejected, Consumer<ServerResponse> done) {
    lookup.find(
        uid,
        found -> {
          if (!found.sure()) {
            done.accept(ServerResponse.retryAfter(1));
          } else if (found.live() == null && found.over() == null) {
            done.accept(problem(HttpStatus.UNPROCESSABLE_CONTENT, rejected.reason()));
          } else {
            done.accept(status(uid, found));
          }
        });
  }

  /** Group commit: all that came while the last write was under way goes together. */
  private void write() {
    if (writing || accepting.isEmpty()) {
      return;
    }
    List<Accepting> group = new ArrayList<>();
    TransactionBuilder draft = new TransactionBuilder();
    Map<String, Boolean> uids = new LinkedHashMap<>();
    while (!accepting.isEmpty() && group.size() < store.maxWritesPerTransaction()) {
      String uid = accepting.peek().record().spec().uid();
      if (uids.putIfAbsent(uid, true) != null) {
        break; // the same job twice: the second goes later and finds the first
      }
      Accepting a = accepting.poll();
      draft.ifAbsent(JobRecord.LIVE + uid).ifAbsent(JobRecord.ENDED + uid);
      draft.put(JobRecord.LIVE + uid, a.record());
      group.add(a);
    }
    writing = true;
    store.commitForUser(
        draft,
        outcome -> {
          writing = false;
          switch (outcome.kind()) {
            case APPLIED ->
                group.forEach(
                    a -> {
                      LOG.debug("accepted {}", a.record().spec().uid());
                      a.done()
                          .accept(
                              ServerResponse.of(
                                  HttpStatus.CREATED,
                                  UserMessages.Status.of(
                                      a.record().spec().uid(), Statuses.PENDING, null, null)));
                    });
            case CONDITION_FAILED ->
                group.forEach(
                    a -> {
                      String uid = a.record().spec().uid();
                      if (outcome.failedKeys().contains(JobRecord.LIVE + uid)
                          || outcome.failedKeys().contains(JobRecord.ENDED + uid)) {
                        poll(uid, a.done());
                      } else {
                        accepting.add(a);
                      }
                    });
            default -> group.forEach(a -> a.done().accept(ServerResponse.retryAfter(1)));
          }
          write();
        });
  }

  private void poll(String uid, Consumer<ServerResponse> done) {
    if (!SubmissionValidator.isUid(uid)) {
      done.accept(ServerResponse.ofStatus(HttpStatus.NOT_FOUND));
      return;
    }
    lookup.find(uid, found -> done.accept(status(uid, found)));
  }

  private void cancel(String uid, int tries, Consumer<ServerResponse> done) {
    if (!SubmissionValidator.isUid(uid)) {
      done.accept(ServerResponse.ofStatus(HttpStatus.NOT_FOUND));
      return;
    }
    lookup.find(
        uid,
        found -> {
          JobRecord.Live live = found.record();
          if (live == null || live.cancelled()) {
            done.accept(status(uid, found));
            return;
          }
          String key = JobRecord.LIVE + uid;
          TransactionBuilder draft =
              new TransactionBuilder().ifVersion(key, found.live().version());
          draft.put(key, new JobRecord.Live(live.spec(), live.submittedWallMs(), true));
          store.commitForUser(
              draft,
              outcome -> {
                if (outcome.applied()) {
                  LOG.info("cancelled {}", uid);
                  confirm(uid, outcome.revision());
                  done.accept(
                      ServerResponse.of(
                          HttpStatus.OK,
                          UserMessages.Status.of(uid, Statuses.CANCELLED, null, null)));
                } else if (outcome.kind() == TransactionOutcome.Kind.CONDITION_FAILED
                    && tries > 1) {
                  cancel(uid, tries - 1, done);
                } else {
                  done.accept(ServerResponse.retryAfter(1));
                }
              });
        });
  }

  private ServerResponse status(String uid, JobLookup.Found found) {
    if (!found.sure()) {
      return ServerResponse.retryAfter(1);
    }
    if (found.over() != null) {
      return ServerResponse.of(
          HttpStatus.OK,
          UserMessages.Status.of(uid, found.over().status(), found.over().done(), 0));
    }
    if (found.live() == null) {
      return ServerResponse.ofStatus(HttpStatus.NOT_FOUND);
    }
    JobRecord.Live live = found.record();
    if (live == null) {
      return ServerResponse.retryAfter(1);
    }
    if (live.cancelled()) {
      confirm(uid, found.live().version());
    }
    JobProgress.Tasks tasks = progress.of(uid);
    String status =
        live.cancelled()
            ? Statuses.CANCELLED
            : tasks.running() > 0 ? Statuses.RUNNING : Statuses.PENDING;
    String reason = status.equals(Statuses.PENDING) ? waitsFor.apply(live.spec()) : null;
    return ServerResponse.of(
        HttpStatus.OK, new UserMessages.Status(uid, status, tasks.done(), tasks.running(), reason));
  }

  private void confirm(String uid, long revision) {
    if (cancellations.confirm(uid, revision)) {
      tellOthers.accept(new Cancellations.Cancelled(uid, revision));
    }
  }

  private static ServerResponse problem(int status, String why) {
    return ServerResponse.of(status, new UserMessages.Problem(why));
  }
}
