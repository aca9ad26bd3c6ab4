package dev.windbend.machine;

import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.NameIndex;
import java.util.ArrayList;
import java.util.List;

/** The machine types on offer with their current prices, by dense index. */
public final class MachineTypeCatalog {
  private static final long REFRESH_INTERVAL_MS = 30_000;
  private static final long RETRY_DELAY_MS = 1_000;

  private final NameIndex zones = new NameIndex();
  private final NameIndex typeNames = new NameIndex();
  private final List<MachineType> types = new ArrayList<>();
  private final EventLoop loop;
  private final CloudClient cloud;

  /** Creates an empty catalog; the zones get dense indexes in the given order. */
  public MachineTypeCatalog(EventLoop loop, CloudClient cloud, List<String> zoneNames) {
    this.loop = loop;
    this.cloud = cloud;
    zoneNames.forEach(zones::index);
  }

  /** The zones' names and their dense indexes. */
  public NameIndex zones() {
    return zones;
  }

  /** Loads the types from the cloud now, and reloads them periodically. */
  public void start() {
    cloud.listTypes(
        types -> {
          types.ifPresent(listed -> listed.forEach(this::update));
          loop.after(types.isPresent() ? REFRESH_INTERVAL_MS : RETRY_DELAY_MS, this::start);
        });
  }

  /** Adds a type, or replaces its previous version. */
  void update(CloudMessages.Type listed) {
    int index = typeNames.index(listed.name());
    int[] zoneIndexes =
        listed.zones() == null
            ? new int[0]
            : listed.zones().stream().mapToInt(zones::index).toArray();
    MachineType type =
        new MachineType(
            index,
            listed.name(),
            new MachineType.Resources(listed.cores(), listed.gpus(), listed.memoryGb()),
            new MachineType.ImageCache(listed.cacheGb(), listed.fetchGbPerSecond()),
            new MachineType.Prices(listed.onDemandPrice(), listed.spotPrice()),
            listed.bootSeconds(),
            zoneIndexes);
    if (index < types.size()) {
      types.set(index, type);
    } else {
      types.add(type);
    }
  }

  /** Whether the types have been loaded. */
  public boolean isLoaded() {
    return !types.isEmpty();
  }

  /** All types, by index. A live view. */
  public List<MachineType> all() {
    return types;
  }

  /** The type with this index. */
  public MachineType type(int index) {
    return types.get(index);
  }

  /** The type with this name; null if there is none. */
  public MachineType find(String name) {
    int index = typeNames.find(name);
    return index < 0 ? null : types.get(index);
  }

  /** The largest number of cores of any type; 1 before the types are loaded. */
  public double maxCores() {
    return all().stream().mapToDouble(MachineType::cores).max().orElse(1);
  }
}
