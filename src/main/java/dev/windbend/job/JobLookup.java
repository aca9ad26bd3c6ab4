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
 * What the state service surely knows of a job now. The mirror's copy of a live job is good if a
 * comparison finds its version unchanged; one comparison serves all questions that wait for it, so
 * requests to the state service do not grow with those of users. Where the mirror lags, the keys
 * themselves are read.
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

  /** Final answers stay what they are. */
  private final Map<String, JobRecord.Ended> endedJobs =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, JobRecord.Ended> eldest) {
          return size() > MAX_CACHED_ENDED_JOBS;
        }
      };

  /** Both null and sure: no such job. */
  record Result(boolean conclusive, VersionedValue liveValue, JobRecord.Ended ended) {
    JobRecord.Live liveRecord() {
      return conclusive && liveValue != null
          ? Json.read(liveValue.value(), JobRecord.Live.class)
          : null;
    }
  }

  private record Query(String uid, VersionedValue replicaCopy, Consumer<Result> done) {}

  JobLookup(EventLoop loop, StoreClient store, Replica replica) {
    this.loop = loop;
    this.store = store;
    this.replica = replica;
    this.maxConditions = Math.max(1, store.maxConditionsPerTransaction() - 1);
  }

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
    // A crowd does not wait for the pause.
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

  /** Reads the live key, then the final one: jobs move only that way, so one of both shows it. */
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
