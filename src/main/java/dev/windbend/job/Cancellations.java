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
  private final Consumer<String> known;
  private final Map<String, Long> confirmed = new LinkedHashMap<>();
  private final Map<String, Long> heard = new LinkedHashMap<>();

  /** A job that is finally cancelled, and the revision at which it was. */
  public record Cancelled(
      @JsonProperty("job") String uid, @JsonProperty("revision") long revision) {}

  /**
   * @param known told of each job of which it is news that it is cancelled
   */
  public Cancellations(Replica replica, Consumer<String> known) {
    this.replica = replica;
    this.known = known;
  }

  /** A user is being told so by this node. False: the mirror, and with it everybody here, knows. */
  boolean confirm(String uid, long revision) {
    prune();
    if (revision <= replica.revision() || confirmed.put(uid, revision) != null) {
      return false;
    }
    known.accept(uid);
    return true;
  }

  /** Other nodes say so. */
  public void learn(List<Cancelled> news) {
    prune();
    for (Cancelled c : news) {
      if (c.revision() > replica.revision() && heard.put(c.uid(), c.revision()) == null) {
        known.accept(c.uid());
      }
    }
  }

  /** Known to be cancelled though the mirror's record may not say so yet. */
  public boolean ahead(String uid) {
    return confirmed.containsKey(uid) || heard.containsKey(uid);
  }

  /**
   * All jobs of which this node may have told a user after that revision that they are cancelled,
   * but for those whose tasks an owner has proved gone. What a former life of this process told is
   * in the mirror once that is read. Null: can't be told, so nobody may rely on us.
   */
  public List<Cancelled> since(long revision) {
    prune();
    if (!replica.synced()) {
      return null;
    }
    List<Cancelled> all = new ArrayList<>();
    confirmed.forEach((uid, at) -> all.add(new Cancelled(uid, at)));
    replica
        .withPrefix(JobRecord.LIVE)
        .forEach(
            (key, stored) -> {
              if (stored.version() > revision) {
                JobRecord.Live live = Json.read(stored.value(), JobRecord.Live.class);
                if (live != null && live.cancelled()) {
                  all.add(new Cancelled(live.spec().uid(), stored.version()));
                }
              }
            });
    return all.size() > MAX_LISTED ? null : all;
  }

  /** This node knows of all cancellations up to this revision. */
  public long knownUpTo() {
    return replica.revision();
  }

  /** This node knows of all that were confirmed before then (steady clock). */
  public long knownUntilMs() {
    return replica.completeUntilMs();
  }

  private void prune() {
    long shown = replica.revision();
    confirmed.values().removeIf(at -> at <= shown);
    heard.values().removeIf(at -> at <= shown);
  }
}
