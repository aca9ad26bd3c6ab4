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
  private static final int ENDED_KEPT = 20_000;

  private final EventLoop loop;
  private final StoreClient store;
  private final Replica replica;
  private final int most;
  private final ArrayDeque<Question> questions = new ArrayDeque<>();
  private boolean asking;
  private boolean scheduled;
  private long notBeforeMs;

  /** Final answers stay what they are. */
  private final Map<String, JobRecord.Ended> ended =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, JobRecord.Ended> eldest) {
          return size() > ENDED_KEPT;
        }
      };

  /** Both null and sure: no such job. */
  record Found(boolean sure, VersionedValue live, JobRecord.Ended over) {
    JobRecord.Live record() {
      return sure && live != null ? Json.read(live.value(), JobRecord.Live.class) : null;
    }
  }

  private record Question(String uid, VersionedValue copy, Consumer<Found> done) {}

  JobLookup(EventLoop loop, StoreClient store, Replica replica) {
    this.loop = loop;
    this.store = store;
    this.replica = replica;
    this.most = Math.max(1, store.maxConditionsPerTransaction() - 1);
  }

  void find(String uid, Consumer<Found> done) {
    JobRecord.Ended known = ended.get(uid);
    if (known != null) {
      done.accept(new Found(true, null, known));
      return;
    }
    VersionedValue copy = replica.get(JobRecord.LIVE + uid);
    if (copy == null) {
      readEnded(uid, () -> read(uid, done), done);
      return;
    }
    questions.add(new Question(uid, copy, done));
    askSoon();
  }

  private void askSoon() {
    if (!scheduled && !asking && !questions.isEmpty()) {
      scheduled = true;
      loop.after(
          Math.max(0, notBeforeMs - loop.nowMs()),
          () -> {
            scheduled = false;
            ask();
          });
    }
  }

  private void ask() {
    List<Question> batch = new ArrayList<>();
    TransactionBuilder draft = new TransactionBuilder();
    while (!questions.isEmpty() && draft.conditionCount() < most) {
      Question q = questions.poll();
      draft.ifVersion(JobRecord.LIVE + q.uid, q.copy.version());
      batch.add(q);
    }
    if (batch.isEmpty()) {
      return;
    }
    asking = true;
    // A crowd does not wait for the pause.
    notBeforeMs = questions.isEmpty() ? loop.nowMs() + store.pollIntervalMs() : 0;
    store.commitForUser(
        draft,
        outcome -> {
          asking = false;
          askSoon();
          for (Question q : batch) {
            if (outcome.applied()
                || (outcome.kind() == TransactionOutcome.Kind.CONDITION_FAILED
                    && !outcome.failedKeys().contains(JobRecord.LIVE + q.uid))) {
              q.done.accept(new Found(true, q.copy, null));
            } else if (outcome.kind() == TransactionOutcome.Kind.CONDITION_FAILED) {
              read(q.uid, q.done);
            } else {
              q.done.accept(new Found(false, null, null));
            }
          }
        });
  }

  /** Reads the live key, then the final one: jobs move only that way, so one of both shows it. */
  private void read(String uid, Consumer<Found> done) {
    store.get(
        JobRecord.LIVE + uid,
        got -> {
          if (!got.answered() || got.found()) {
            done.accept(new Found(got.answered(), got.stored(), null));
            return;
          }
          readEnded(uid, () -> done.accept(new Found(true, null, null)), done);
        });
  }

  private void readEnded(String uid, Runnable none, Consumer<Found> done) {
    store.get(
        JobRecord.ENDED + uid,
        got -> {
          JobRecord.Ended over =
              got.found() ? Json.read(got.stored().value(), JobRecord.Ended.class) : null;
          if (over != null) {
            ended.put(uid, over);
            done.accept(new Found(true, null, over));
          } else if (got.status() == ReadResult.Status.NOT_FOUND) {
            none.run();
          } else {
            done.accept(new Found(false, null, null));
          }
        });
  }
}
