package dev.windbend.machine;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Result of one health scan over all machines of a shard. */
final class HealthFindings {
  /** A single missed heartbeat in a zone does not indicate a network partition. */
  private static final int MIN_MISSED_FOR_PARTITION = 2;

  /**
   * In a partitioned zone more than this number of heartbeats are missed for each one that is
   * received.
   */
  private static final int MIN_MISSED_PER_RECEIVED = 2;

  /**
   * If at least one in this number of machines that send heartbeats seems unresponsive, the cause
   * is this controller.
   */
  private static final int MIN_RECEIVED_PER_UNRESPONSIVE = 3;

  /** Machines to scale in regardless of the state of other machines, in the fleet's order. */
  final List<ScaleInCandidate> scaleInCandidates = new ArrayList<>();

  /** Empty machines that are reserved for transfer, by receiving shard. */
  final Map<Integer, List<Machine>> transfers = new TreeMap<>();

  /** Machines that have sent no heartbeat for longer than a running worker would. */
  final List<Machine> silent = new ArrayList<>();

  /** Machines whose heartbeats show no effect of the controller's responses. */
  final List<Machine> unresponsive = new ArrayList<>();

  private final int[] receivedByZone;
  private final int[] missedByZone;
  private int receivedHeartbeats;

  /**
   * A machine to scale in.
   *
   * @param cause reason, for the log
   */
  record ScaleInCandidate(Machine machine, String cause) {}

  HealthFindings(int zoneCount) {
    this.receivedByZone = new int[zoneCount];
    this.missedByZone = new int[zoneCount];
  }

  /** Counts a machine whose heartbeats arrive on time, or one whose heartbeat is overdue. */
  void recordHeartbeat(int zone, boolean missed) {
    if (missed) {
      missedByZone[zone]++;
    } else {
      receivedByZone[zone]++;
      receivedHeartbeats++;
    }
  }

  /**
   * Whether the zone seems cut off by a network partition: heartbeats of nearly all its machines
   * are overdue at once. A wave of spot reclaims affects fewer machines.
   */
  boolean isPartitioned(int zone) {
    return missedByZone[zone] >= MIN_MISSED_FOR_PARTITION
        && missedByZone[zone] > MIN_MISSED_PER_RECEIVED * receivedByZone[zone];
  }

  /**
   * Whether so large a share of machines seems unresponsive that the cause is this controller, for
   * instance a slow process.
   */
  boolean unresponsiveDueToController() {
    return unresponsive.size() != 1
        && MIN_RECEIVED_PER_UNRESPONSIVE * unresponsive.size() >= receivedHeartbeats;
  }
}
