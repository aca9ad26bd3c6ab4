package dev.windbend.machine;

import dev.windbend.runtime.EventLoop;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The machines of one shard and the records that name them, in the order they were added. */
final class FleetRecords {
  private static final Logger LOG = LoggerFactory.getLogger(FleetRecords.class);

  private final EventLoop loop;
  private final MachineTypeCatalog catalog;
  private final int shard;
  private final Fleet.Listener listener;
  private final Map<String, ScaleOutRequest> requests = new LinkedHashMap<>();
  private final Map<String, Machine> machines = new LinkedHashMap<>();

  /** Fences of removed machines, so that an outdated record does not restore them. */
  private final Object2LongOpenHashMap<String> formerMachineFences = new Object2LongOpenHashMap<>();

  FleetRecords(EventLoop loop, MachineTypeCatalog catalog, int shard, Fleet.Listener listener) {
    this.loop = loop;
    this.catalog = catalog;
    this.shard = shard;
    this.listener = listener;
  }

  Collection<Machine> machines() {
    return machines.values();
  }

  /** The machine with this name; null if the shard has no such machine. */
  Machine find(String name) {
    return machines.get(name);
  }

  Collection<ScaleOutRequest> requests() {
    return requests.values();
  }

  /** See {@link Fleet#restore}. */
  void restore(
      String name, ScaleOutRecord record, long version, MachineIndex index, boolean inherited) {
    if (requests.containsKey(name)) {
      return;
    }
    ScaleOutRequest request = add(name, record, version);
    if (request == null || record.unanswered()) {
      return;
    }
    for (String machineName : record.machines()) {
      if (index.isCurrentRecord(request.key, machineName)
          && !removedSince(machineName, request.fence)) {
        restoreMachine(machineName, request, inherited);
      }
    }
    if (request.machines.size() < record.machines().size()) {
      request.markChanged(loop.nowMs(), false);
      listener.recordChanged(request);
      finishEmptied();
    }
  }

  /** Whether the machine was removed from this shard under this fence or a later one. */
  private boolean removedSince(String machineName, long fence) {
    return formerMachineFences.containsKey(machineName)
        && formerMachineFences.getLong(machineName) >= fence;
  }

  private void restoreMachine(String machineName, ScaleOutRequest request, boolean inherited) {
    Machine previous = machines.get(machineName);
    if (previous != null) {
      remove(previous);
    }
    Machine machine = addMachine(machineName, request, loop.nowMs());
    machine.completeRecordWrite();
    machine.setInherited(inherited);
  }

  /**
   * Adds a request that is on record, or has yet to be written (version 0).
   *
   * @return the request; null if its machine type is unknown
   */
  ScaleOutRequest add(String name, ScaleOutRecord record, long version) {
    MachineType type = catalog.find(record.type());
    if (type == null) {
      LOG.error("scale-out record of unknown machine type: name={} type={}", name, record.type());
      return null;
    }
    int zone = catalog.zones().index(record.zone());
    ScaleOutRequest request =
        new ScaleOutRequest(name, shard, record, type, zone, version, loop.nowMs());
    requests.put(name, request);
    return request;
  }

  /** Adds the machines that the cloud granted, except those this shard has or had before. */
  void addGranted(ScaleOutRequest request, List<String> names) {
    for (String name : names) {
      if (!machines.containsKey(name) && !formerMachineFences.containsKey(name)) {
        addMachine(name, request, request.requestedMs);
      }
    }
  }

  private Machine addMachine(String name, ScaleOutRequest request, long requestedMs) {
    Machine machine = new Machine(name, request, requestedMs, loop.nowMs());
    machines.put(name, machine);
    request.machines.add(machine);
    return machine;
  }

  /** Removes a machine that was terminated or transferred to another shard. */
  void remove(Machine machine) {
    if (machines.remove(machine.name(), machine)) {
      formerMachineFences.put(machine.name(), machine.request.fence);
    }
    machine.request.remove(machine, loop.nowMs());
    listener.recordChanged(machine.request);
  }

  /** Finishes answered requests that have no machines left. */
  void finishEmptied() {
    for (ScaleOutRequest request : List.copyOf(requests.values())) {
      if (request.answered && request.machines.isEmpty()) {
        finish(request);
      }
    }
  }

  /** Removes a request that is no longer needed, and deletes its record. */
  void finish(ScaleOutRequest request) {
    requests.remove(request.name);
    request.finish(loop.nowMs());
    listener.recordChanged(request);
  }
}
