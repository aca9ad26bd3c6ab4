package dev.windbend.job;

import com.fasterxml.jackson.annotation.JsonProperty;
import dev.windbend.runtime.Json;
import dev.windbend.store.Replica;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Cancellations that are confirmed to users and that this controller's replica may lack: those that
 * this controller confirmed itself, and those that other controllers reported.
 */
public final class Cancellations {
  /**
   * Maximum number of cancellations in a list. A controller that lacks more of them gets no list
   * and lets the leases of its workers expire.
   */
  public static final int MAX_LISTED = 500;

  private final Replica replica;
  private final Consumer<String> onCancelled;
  private final Map<String, Long> confirmed = new LinkedHashMap<>();
  private final Map<String, Long> receivedFromPeers = new LinkedHashMap<>();

  /**
   * A cancelled job.
   *
   * @param uid the id of the job
   * @param revision the store revision at which the job was cancelled
   */
  public record Cancelled(
      @JsonProperty("job") String uid, @JsonProperty("revision") long revision) {}

  /**
   * Creates an empty set of cancellations.
   *
   * @param onCancelled called with the id of each job that becomes known as cancelled
   */
  public Cancellations(Replica replica, Consumer<String> onCancelled) {
    this.replica = replica;
    this.onCancelled = onCancelled;
  }

  /**
   * Records that this controller confirms a cancellation to its user.
   *
   * @param revision the store revision at which the job was cancelled
   * @return whether the cancellation is new; false if the replica contains it or if it was
   *     confirmed before
   */
  boolean confirm(String uid, long revision) {
    removeReplicated();
    if (revision <= replica.revision() || confirmed.put(uid, revision) != null) {
      return false;
    }
    onCancelled.accept(uid);
    return true;
  }

  /** Adds cancellations that another controller has confirmed. */
  public void addFromPeers(List<Cancelled> received) {
    removeReplicated();
    for (Cancelled cancelled : received) {
      if (cancelled.revision() > replica.revision()
          && receivedFromPeers.put(cancelled.uid(), cancelled.revision()) == null) {
        onCancelled.accept(cancelled.uid());
      }
    }
  }

  /** Returns whether the job is known to be cancelled before the replica shows it. */
  public boolean isKnownCancelled(String uid) {
    return confirmed.containsKey(uid) || receivedFromPeers.containsKey(uid);
  }

  /**
   * Returns all cancellations that this controller may have confirmed at revisions after the given
   * one, except those of jobs whose tasks are all confirmed terminated. The replica, once it is
   * listed, contains the cancellations that this controller confirmed before a restart.
   *
   * @return null if the replica is not listed yet, or if there are more than {@link #MAX_LISTED};
   *     the caller must then assume that it lacks cancellations
   */
  public List<Cancelled> listSince(long revision) {
    removeReplicated();
    if (!replica.synced()) {
      return null;
    }
    List<Cancelled> cancelled = new ArrayList<>();
    confirmed.forEach((uid, at) -> cancelled.add(new Cancelled(uid, at)));
    replica
        .withPrefix(JobRecord.LIVE_PREFIX)
        .forEach(
            (key, stored) -> {
              if (stored.version() > revision) {
                JobRecord.Live live = Json.read(stored.value(), JobRecord.Live.class);
                if (live != null && live.cancelled()) {
                  cancelled.add(new Cancelled(live.spec().uid(), stored.version()));
                }
              }
            });
    return cancelled.size() > MAX_LISTED ? null : cancelled;
  }

  /** Returns the store revision up to which this controller knows all cancellations. */
  public long completeUpToRevision() {
    return replica.revision();
  }

  /**
   * Returns the time, in milliseconds of the monotonic clock, before which all confirmed
   * cancellations are known to this controller.
   */
  public long completeUntilMs() {
    return replica.completeUntilMs();
  }

  private void removeReplicated() {
    long replicaRevision = replica.revision();
    confirmed.values().removeIf(at -> at <= replicaRevision);
    receivedFromPeers.values().removeIf(at -> at <= replicaRevision);
  }
}
