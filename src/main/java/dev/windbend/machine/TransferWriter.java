package dev.windbend.machine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes the records that transfer machines to a shard or assign orphaned machines to it. */
final class TransferWriter {
  private static final Logger LOG = LoggerFactory.getLogger(TransferWriter.class);
  private static final int MAX_BATCH_SIZE = 50;

  private final MachineTypeCatalog catalog;
  private final FleetRecords records;
  private final RecordNames names;
  private final Fleet.Listener listener;

  TransferWriter(
      MachineTypeCatalog catalog,
      FleetRecords records,
      RecordNames names,
      Fleet.Listener listener) {
    this.catalog = catalog;
    this.records = records;
    this.names = names;
    this.listener = listener;
  }

  /** Assigns orphaned machines to a shard, which may be this one. */
  void adopt(OrphanedMachine kind, List<String> machineNames, int toShard) {
    LOG.info("orphaned machines adopted: to_shard={} machines={}", toShard, machineNames);
    write(kind.type(), kind.zone(), kind.spot(), machineNames, toShard, () -> {});
  }

  /** Transfers empty machines to another shard; this shard stops using them immediately. */
  void transfer(Collection<Machine> machines, int toShard) {
    Map<InstanceKind, List<Machine>> byKind = new LinkedHashMap<>();
    for (Machine machine : machines) {
      machine.beginTransfer();
      byKind.computeIfAbsent(InstanceKind.of(machine), kind -> new ArrayList<>()).add(machine);
    }
    for (List<Machine> group : byKind.values()) {
      for (int from = 0; from < group.size(); from += MAX_BATCH_SIZE) {
        int to = Math.min(group.size(), from + MAX_BATCH_SIZE);
        transferBatch(List.copyOf(group.subList(from, to)), toShard);
      }
    }
  }

  private void transferBatch(List<Machine> batch, int toShard) {
    List<String> machineNames = batch.stream().map(Machine::name).toList();
    LOG.info("machines transferred: to_shard={} machines={}", toShard, machineNames);
    Machine first = batch.get(0);
    write(
        first.type().name(),
        catalog.zones().name(first.zone()),
        first.spot(),
        machineNames,
        toShard,
        () -> batch.forEach(records::remove));
  }

  private void write(
      String type,
      String zone,
      boolean spot,
      List<String> machineNames,
      int toShard,
      Runnable onWritten) {
    ScaleOutRecord record = new ScaleOutRecord(type, zone, spot, 0, machineNames, 0L);
    listener.recordChanged(new TransferRecord(names.nextTransferKey(toShard), record, onWritten));
  }
}
