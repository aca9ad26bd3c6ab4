package dev.windbend.machine;

import dev.windbend.daemon.io.Json;
import dev.windbend.job.Placement;
import dev.windbend.store.Draft;
import dev.windbend.store.Stored;
import dev.windbend.store.Unit;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * A machine of the part, as its owner knows it. Its rental's record says whose it is; one that was
 * adopted or has changed parts has a record of its own, which goes before that.
 */
public final class Machine implements Unit {
  public final String name;
  public final MachineType type;
  public final int zone;
  public final boolean spot;
  private final String key;
  private final int part;
  private final String zoneName;

  /** When it was asked for (steady clock); for inherited ones, when it was taken over. */
  public final long rentedMs;

  /** Newest report by (shift, tally), and when it came. */
  public long shift = -1;

  public long tally = -1;
  public long seenMs = -1;

  /** Its newest report carried our token: what it lists is all there is. */
  public boolean confirmed;

  /** When the cloud takes it away (steady clock), -1: no notice. */
  public long recallMs = -1;

  /** No new tasks. */
  public boolean draining;

  /** Being given back until the cloud confirms. */
  public boolean returning;

  public boolean gone;

  /** Images seen in use on it, by dense index. */
  public final IntOpenHashSet images = new IntOpenHashSet();

  /** Tasks counted as on it, by name. */
  public final Map<String, Placement> tasks = new LinkedHashMap<>();

  /** Jobs that failed on it with no success since. */
  public final Set<String> failedJobs = new HashSet<>();

  /** Idle since this time, -1: busy. */
  public long idleSinceMs;

  /** Start refused for lack of room: nothing new before this time. */
  public long fullUntilMs;

  /** A report of it waits for its answer, so it can be told something at once. */
  public boolean listening;

  /** We have answered it under our token. */
  public boolean answered;

  /** Reports one after the other that show no effect of what we answered. */
  public int unheard;

  /** Goes to this part once it is empty, -1: stays. */
  public int promisedTo = -1;

  private int wantedPart;
  private int recordedPart = -1;
  private int writingPart = -1;
  private long version;
  private boolean inFlight;
  private boolean removed;

  /** The rental that it came with and whose record names it; null: it has a record of its own. */
  final Hire hire;

  /** Its rental's record is being written with its name. */
  boolean listing;

  /**
   * @param version of its own record, 0: none
   */
  Machine(
      String name,
      MachineType type,
      int zone,
      String zoneName,
      boolean spot,
      int part,
      Hire hire,
      long version,
      long rentedMs,
      long nowMs) {
    this.hire = hire;
    this.name = name;
    this.key = MachineRecord.KEYS + name;
    this.type = type;
    this.zone = zone;
    this.zoneName = zoneName;
    this.spot = spot;
    this.part = part;
    this.wantedPart = part;
    this.version = version;
    this.recordedPart = version > 0 ? part : -1;
    this.rentedMs = rentedMs;
    this.idleSinceMs = nowMs;
  }

  /**
   * The fencing token for this machine: its record's version if that is above the claim's, so that
   * a part that is given a machine outdoes the giver.
   */
  public long token(long claim) {
    return Math.max(claim, version);
  }

  public long version() {
    return version;
  }

  /**
   * The machine may be used: the record says it is ours. Without that a successor would not find
   * it, take its tasks for gone and start them twice.
   */
  public boolean recorded() {
    return recordedPart == part && wantedPart == part;
  }

  void moveTo(int to) {
    wantedPart = to;
  }

  /** Its rental's record names it. */
  void listed() {
    listing = false;
    if (version == 0) {
      recordedPart = part;
    }
  }

  /** Another part's by now: its owner has the same token as we would use, so we must be silent. */
  public boolean moved() {
    return recordedPart >= 0 && recordedPart != part;
  }

  @Override
  public boolean dirty() {
    if (inFlight || removed) {
      return false;
    }
    if (gone) {
      return version > 0;
    }
    return wantedPart != recordedPart && (hire == null || wantedPart != part);
  }

  @Override
  public boolean urgent(long nowMs) {
    return !gone;
  }

  @Override
  public int cost() {
    return 1;
  }

  @Override
  public void fill(Draft draft) {
    inFlight = true;
    writingPart = gone ? -1 : wantedPart;
    draft.when(key, version);
    if (gone) {
      draft.delete(key);
    } else {
      draft.put(key, new MachineRecord(wantedPart, type.name(), zoneName, spot));
    }
  }

  @Override
  public void written(long revision) {
    inFlight = false;
    version = revision;
    recordedPart = writingPart;
    removed = writingPart < 0;
  }

  @Override
  public void unwritten() {
    inFlight = false;
  }

  @Override
  public void reread(String k, Stored now) {
    MachineRecord r = now == null ? null : Json.read(now.value(), MachineRecord.class);
    version = now == null ? 0 : now.version();
    recordedPart = r != null ? r.part() : hire != null ? part : -1;
    removed = gone && r == null;
    if (moved()) {
      // Already given away, by an earlier write of ours or by a former owner: it stays there.
      wantedPart = recordedPart;
    }
  }

  @Override
  public boolean owns(String k) {
    return k.equals(key);
  }

  public boolean newer(long s, long t) {
    return s > shift || s == shift && t > tally;
  }

  public boolean usable(long nowMs) {
    return recorded() && confirmed && !draining && !returning && !gone && nowMs >= fullUntilMs;
  }

  public void add(Placement p) {
    tasks.put(p.taskName(), p);
    idleSinceMs = -1;
  }

  public void remove(Placement p, long nowMs) {
    tasks.remove(p.taskName(), p);
    if (tasks.isEmpty() && idleSinceMs < 0) {
      idleSinceMs = nowMs;
    }
  }
}
