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
 * Which cancellations users may have been told of beyond what the mirror shows: those confirmed by
 * this node a moment ago, and those heard of from other nodes while the state service fails us.
 */
public final class Cancellations {
  /** More than that is not told: whoever lags so far lets the leases of its workers end. */
  public static final int MAX_LISTED = 500;

  private final Replica replica;
  private final Consumer<String> onCancelled;
  private final Map<String, Long> confirmed = new LinkedHashMap<>();
  private final Map<String, Long> receivedFromPeers = new LinkedHashMap<>();

  /** A job that is finally cancelled, and the revision at which it was. */
  public record Cancelled(
      @JsonProperty("job") String uid, @JsonProperty("revision") long revision) {}

  /**
   * @param onCancelled told of each job of which it is news that it is cancelled
   */
  public Cancellations(Replica replica, Consumer<String> onCancelled) {
    this.replica = replica;
    this.onCancelled = onCancelled;
  }

  /** A user is being told so by this node. False: the mirror, and with it everybody here, knows. */
  boolean confirm(String uid, long revision) {
    removeReplicated();
    if (revision <= replica.revision() || confirmed.put(uid, revision) != null) {
      return false;
    }
    onCancelled.accept(uid);
    return true;
  }

  /** Other nodes say so. */
  public void addFromPeers(List<Cancelled> received) {
    removeReplicated();
    for (Cancelled cancelled : received) {
      if (cancelled.revision() > replica.revision()
          && receivedFromPeers.put(cancelled.uid(), cancelled.revision()) == null) {
        onCancelled.accept(cancelled.uid());
      }
    }
  }

  /** Known to be cancelled though the mirror's record may not say so yet. */
  public boolean isKnownCancelled(String uid) {
    return confirmed.containsKey(uid) || receivedFromPeers.containsKey(uid);
  }

  /**
   * All jobs of which this node may have told a user after that revision that they are cancelled,
   * but for those whose tasks an owner has proved gone. What a former life of this process told is
   * in the mirror once that is read. Null: can't be told, so nobody may rely on us.
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

  /** This node knows of all cancellations up to this revision. */
  public long completeUpToRevision() {
    return replica.revision();
  }

  /** This node knows of all that were confirmed before then (steady clock). */
  public long completeUntilMs() {
    return replica.completeUntilMs();
  }

  private void removeReplicated() {
    long replicaRevision = replica.revision();
    confirmed.values().removeIf(at -> at <= replicaRevision);
    receivedFromPeers.values().removeIf(at -> at <= replicaRevision);
  }
}
