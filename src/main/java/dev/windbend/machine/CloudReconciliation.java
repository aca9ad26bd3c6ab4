package dev.windbend.machine;

import dev.windbend.runtime.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/** Reconciles the machines of a shard with the instances that the cloud lists. */
final class CloudReconciliation {
  private final EventLoop loop;
  private final CloudClient cloud;
  private final FleetRecords records;
  private final ScaleIn scaleIn;
  private final Map<String, Long> unknownSinceMs = new HashMap<>();
  private boolean closed;

  CloudReconciliation(EventLoop loop, CloudClient cloud, FleetRecords records, ScaleIn scaleIn) {
    this.loop = loop;
    this.cloud = cloud;
    this.records = records;
    this.scaleIn = scaleIn;
  }

  void close() {
    closed = true;
  }

  /** See {@link Fleet#returnUnlistedInherited}. */
  void returnUnlistedInherited() {
    cloud.listInstances(
        listed -> {
          if (!closed) {
            listed.ifPresent(this::returnUnlistedInherited);
          }
        });
  }

  private void returnUnlistedInherited(List<CloudMessages.Instance> listed) {
    Set<String> listedNames = new HashSet<>();
    listed.forEach(instance -> listedNames.add(instance.name()));
    for (Machine machine : List.copyOf(records.machines())) {
      if (machine.inherited()
          && machine.lastHeartbeatMs() < 0
          && !listedNames.contains(machine.name())) {
        scaleIn.request(List.of(machine), "not listed by the cloud after failover");
      }
    }
  }

  /** See {@link Fleet#reconcileWithCloud}. */
  void reconcile(
      long orphanedAfterMs,
      Predicate<String> isKnown,
      BiConsumer<String, OrphanedMachine> onOrphaned) {
    cloud.listInstances(
        listed -> {
          if (!closed) {
            listed.ifPresent(
                instances -> reconcile(instances, orphanedAfterMs, isKnown, onOrphaned));
          }
        });
  }

  private void reconcile(
      List<CloudMessages.Instance> listed,
      long orphanedAfterMs,
      Predicate<String> isKnown,
      BiConsumer<String, OrphanedMachine> onOrphaned) {
    Set<String> stillUnknown = new HashSet<>();
    for (CloudMessages.Instance instance : listed) {
      String name = instance.name();
      Machine machine = records.find(name);
      if (machine != null) {
        if (instance.failed()) {
          scaleIn.request(List.of(machine), "failed");
        }
      } else if (!isKnown.test(name)) {
        stillUnknown.add(name);
        long sinceMs = unknownSinceMs.computeIfAbsent(name, key -> loop.nowMs());
        if (loop.nowMs() - sinceMs >= orphanedAfterMs) {
          onOrphaned.accept(name, instance.toOrphanedMachine());
        }
      }
    }
    unknownSinceMs.keySet().retainAll(stillUnknown);
  }
}
