package dev.windbend.job;

import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.Json;
import dev.windbend.store.ReadResult;
import dev.windbend.store.Replica;
import dev.windbend.store.StoreClient;
import dev.windbend.store.TransactionBuilder;
import dev.windbend.store.TransactionOutcome;
import dev.windbend.store.VersionedValue;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Looks up the current record of a job in the state service. If the replica holds the live record,
 * a transaction that contains only conditions checks whether its version is current. One
 * transaction checks many lookups, so that the request rate on the state service does not grow with
 * the rate of user requests. If the replica lags, the job's keys are read instead.
 */
final class JobLookup {
  private static final int MAX_CACHED_ENDED_JOBS = 20_000;

  private final EventLoop loop;
  private final StoreClient store;
  private final Replica replica;
  private final int maxConditions;
  private final ArrayDeque<Query> pendingQueries = new ArrayDeque<>();
  private boolean checkInProgress;
  private boolean checkScheduled;
  private long nextCheckMs;

  /** Cached final records by job id. They never change, and the oldest entry is evicted first. */
  private final Map<String, JobRecord.Ended> endedJobs =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, JobRecord.Ended> eldest) {
          return size() > MAX_CACHED_ENDED_JOBS;
        }
      };

  /**
   * The result of a lookup. If it is conclusive and both records are null, the job does not exist.
   *
   * @param conclusive false if the state service did not answer
   * @param liveValue value and version of the live record; null if none was found
   * @param ended the final record; null if none was found
   */
  record Result(boolean conclusive, VersionedValue liveValue, JobRecord.Ended ended) {
    /** Returns the parsed live record; null if there is none or if it is malformed. */
    JobRecord.Live liveRecord() {
      return conclusive && liveValue != null
          ? Json.read(liveValue.value(), JobRecord.Live.class)
          : null;
    }
  }

  /** A lookup that waits for a check of the version of the live record in the replica. */
  private record Query(String uid, VersionedValue replicaCopy, Consumer<Result> done) {}

  /** Creates a lookup with an empty cache. */
  JobLookup(EventLoop loop, StoreClient store, Replica replica) {
    this.loop = loop;
    this.store = store;
    this.replica = replica;
    this.maxConditions = Math.max(1, store.maxConditionsPerTransaction() - 1);
  }

  /**
   * Looks up a job.
   *
   * @param done receives the result exactly once, during this call or later
   */
  void find(String uid, Consumer<Result> done) {
    JobRecord.Ended cached = endedJobs.get(uid);
    if (cached != null) {
      done.accept(new Result(true, null, cached));
      return;
    }
    VersionedValue replicaCopy = replica.get(JobRecord.LIVE_PREFIX + uid);
    if (replicaCopy == null) {
      readEnded(uid, () -> readLive(uid, done), done);
      return;
    }
    pendingQueries.add(new Query(uid, replicaCopy, done));
    scheduleCheck();
  }

  private void scheduleCheck() {
    if (!checkScheduled && !checkInProgress && !pendingQueries.isEmpty()) {
      checkScheduled = true;
      loop.after(
          Math.max(0, nextCheckMs - loop.nowMs()),
          () -> {
            checkScheduled = false;
            checkVersions();
          });
    }
  }

  private void checkVersions() {
    List<Query> batch = new ArrayList<>();
    TransactionBuilder transaction = new TransactionBuilder();
    while (!pendingQueries.isEmpty() && transaction.conditionCount() < maxConditions) {
      Query query = pendingQueries.poll();
      transaction.ifVersion(JobRecord.LIVE_PREFIX + query.uid, query.replicaCopy.version());
      batch.add(query);
    }
    if (batch.isEmpty()) {
      return;
    }
    checkInProgress = true;
    // While more lookups are waiting, the next check is sent without the poll interval.
    nextCheckMs = pendingQueries.isEmpty() ? loop.nowMs() + store.pollIntervalMs() : 0;
    store.commitForUser(
        transaction,
        outcome -> {
          checkInProgress = false;
          scheduleCheck();
          for (Query query : batch) {
            if (outcome.applied()
                || (outcome.kind() == TransactionOutcome.Kind.CONDITION_FAILED
                    && !outcome.failedKeys().contains(JobRecord.LIVE_PREFIX + query.uid))) {
              query.done.accept(new Result(true, query.replicaCopy, null));
            } else if (outcome.kind() == TransactionOutcome.Kind.CONDITION_FAILED) {
              readLive(query.uid, query.done);
            } else {
              query.done.accept(new Result(false, null, null));
            }
          }
        });
  }

  /**
   * Reads the live key and then the final key. A job only ever moves from the live to the final
   * key, so that one of the two reads finds it.
   */
  private void readLive(String uid, Consumer<Result> done) {
    store.get(
        JobRecord.LIVE_PREFIX + uid,
        result -> {
          if (!result.answered() || result.found()) {
            done.accept(new Result(result.answered(), result.stored(), null));
            return;
          }
          readEnded(uid, () -> done.accept(new Result(true, null, null)), done);
        });
  }

  /**
   * Reads the final key.
   *
   * @param ifNotFound runs instead of {@code done} if the key does not exist
   */
  private void readEnded(String uid, Runnable ifNotFound, Consumer<Result> done) {
    store.get(
        JobRecord.ENDED_PREFIX + uid,
        result -> {
          JobRecord.Ended endedRecord =
              result.found() ? Json.read(result.stored().value(), JobRecord.Ended.class) : null;
          if (endedRecord != null) {
            endedJobs.put(uid, endedRecord);
            done.accept(new Result(true, null, endedRecord));
          } else if (result.status() == ReadResult.Status.NOT_FOUND) {
            ifNotFound.run();
          } else {
            done.accept(new Result(false, null, null));
          }
        });
  }
}
