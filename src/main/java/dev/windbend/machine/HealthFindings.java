package dev.windbend.machine;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What one look at all machines of a shard has found. */
final class HealthFindings {
  /** One late heartbeat in a zone alone is no partition. */
  private static final int MIN_MISSED_FOR_PARTITION = 2;

  /** So many machines of a partitioned zone are missed for each that is heard, at least. */
  private static final int MIN_MISSED_PER_RECEIVED = 2;

  /** If a larger part of the heard machines seems unresponsive, the fault is ours. */
  private static final int MIN_RECEIVED_PER_UNRESPONSIVE = 3;

  /** Machines that are to be returned whatever becomes of the others, in the fleet's order. */
  final List<ScaleInCandidate> scaleInCandidates = new ArrayList<>();

  /** Empty machines that are promised to other shards, by shard. */
  final Map<Integer, List<Machine>> transfers = new TreeMap<>();

  /** Machines silent for longer than a living one would be. */
  final List<Machine> silent = new ArrayList<>();

  /** Machines that show no effect of our responses. */
  final List<Machine> unresponsive = new ArrayList<>();

  private final int[] receivedByZone;
  private final int[] missedByZone;
  private int received;

  /** A machine that is to be returned. */
  record ScaleInCandidate(Machine machine, String cause) {}

  HealthFindings(int zoneCount) {
    this.receivedByZone = new int[zoneCount];
    this.missedByZone = new int[zoneCount];
  }

  void recordHeartbeat(int zone, boolean missed) {
    if (missed) {
      missedByZone[zone]++;
    } else {
      receivedByZone[zone]++;
      received++;
    }
  }

  /** Nearly all of a zone at once is a partition; a wave of machines taken back is less. */
  boolean isPartitioned(int zone) {
    return missedByZone[zone] >= MIN_MISSED_FOR_PARTITION
        && missedByZone[zone] > MIN_MISSED_PER_RECEIVED * receivedByZone[zone];
  }

  /** Many at once: the fault is ours, as when this process is slow. */
  boolean unresponsiveDueToController() {
    return unresponsive.size() != 1
        && MIN_RECEIVED_PER_UNRESPONSIVE * unresponsive.size() >= received;
  }
}
