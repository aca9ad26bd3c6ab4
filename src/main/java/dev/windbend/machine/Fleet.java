package dev.windbend.machine;

import dev.windbend.runtime.EventLoop;
import dev.windbend.store.PendingWrite;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The machines of one shard. Wanted and actual differ by rentals under way and machines to give
 * back; both are pursued until the cloud has surely answered.
 */
public final class Fleet {
  private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
  private static final int RETURN_BATCH = 100;
  private static final int HIRE_BATCH = 50;
  private static final long REFUSED_MS = 8_000;
  private static final long AGAIN_MS = 1_500;

  private final EventLoop loop;
  private final CloudClient cloud;
  private final MachineTypeCatalog catalog;
  private final int shard;
  private final long token;
  private final Listener listener;
  private final Map<String, ScaleOutRequest> hires = new LinkedHashMap<>();
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private final Set<Machine> leaving = new LinkedHashSet<>();
  private final Object2LongOpenHashMap<String> refusedUntil = new Object2LongOpenHashMap<>();

  /** Kinds that were refused, and not had in full since. */
  private final Set<String> scarce = new HashSet<>();

  private final Map<String, Long> unknownSince = new HashMap<>();

  /** Fences of machines that left, so that old news does not bring them back. */
  private final Object2LongOpenHashMap<String> left = new Object2LongOpenHashMap<>();

  private long sequence;
  private boolean givingBack;
  private boolean closed;

  /** Hears of changes of the fleet, and says whether it may act. */
  public interface Listener {
    /** A record of machines differs from what is stored, and is to be written. */
    void recordChanged(PendingWrite record);

    /** The cloud has confirmed: the machine and all that was on it are gone. */
    void machineGone(Machine machine);

    /** New machines are on their way, or a rental was refused. */
    void fleetChanged();

    /** Whether this controller certainly leads the shard. */
    boolean mayAct();
  }

  public Fleet(
      EventLoop loop,
      CloudClient cloud,
      MachineTypeCatalog catalog,
      int shard,
      long token,
      Listener listener) {
    this.loop = loop;
    this.cloud = cloud;
    this.catalog = catalog;
    this.shard = shard;
    this.token = token;
    this.listener = listener;
  }

  public void close() {
    closed = true;
  }

  public Collection<Machine> machines() {
    return machines.values();
  }

  public Machine find(String name) {
    return machines.get(name);
  }

  /**
   * A record found in the state service, or just given to this shard. A rental without an answer is
   * asked again under its name; of the others the machines are this shard's unless a later record
   * names them.
   */
  public void restore(
      String name, ScaleOutRecord record, long version, MachineIndex directory, boolean inherited) {
    if (hires.containsKey(name)) {
      return;
    }
    ScaleOutRequest h = hire(name, record, version);
    if (h == null || record.open()) {
      return;
    }
    for (String n : record.machines()) {
      if (directory.names(h.key, n) && (!left.containsKey(n) || left.getLong(n) < h.fence)) {
        Machine former = machines.get(n);
        if (former != null) {
          leave(former);
        }
        Machine m = add(n, h, loop.nowMs());
        m.listed();
        m.recordInherited(inherited);
      }
    }
    if (h.machines.size() < record.machines().size()) {
      h.changed(loop.nowMs(), false);
      listener.recordChanged(h);
      afterWrite();
    }
  }

  private ScaleOutRequest hire(String name, ScaleOutRecord record, long version) {
    MachineType type = catalog.find(record.type());
    if (type == null) {
      LOG.error("rental {} names the unknown type {}", name, record.type());
      return null;
    }
    int zone = catalog.zones().index(record.zone());
    ScaleOutRequest h = new ScaleOutRequest(name, shard, record, type, zone, version, loop.nowMs());
    hires.put(name, h);
    return h;
  }

  private Machine add(String name, ScaleOutRequest hire, long rentedMs) {
    Machine m = new Machine(name, hire, rentedMs, loop.nowMs());
    machines.put(name, m);
    hire.machines.add(m);
    return m;
  }

  /** Not to be asked for now: the cloud had none a moment ago. */
  public boolean refused(int type, int zone, boolean spot) {
    return refusedUntil.getLong(kind(type, zone, spot)) > loop.nowMs();
  }

  /** Some kind at least is not to be had. */
  public boolean refusedSome() {
    long now = loop.nowMs();
    return refusedUntil.values().longStream().anyMatch(until -> until > now);
  }

  private static String kind(int type, int zone, boolean spot) {
    return type + "/" + zone + "/" + spot;
  }

  /** Machines asked for and not answered yet. */
  public Collection<Pending> pending() {
    List<Pending> all = new ArrayList<>();
    for (ScaleOutRequest h : hires.values()) {
      if (!h.answered) {
        all.add(new Pending(h.type, h.zone, h.asked.spot(), h.asked.count(), h.madeMs));
      }
    }
    return all;
  }

  public record Pending(MachineType type, int zone, boolean spot, int count, long sinceMs) {}

  /**
   * Each batch takes two changes in the state service, also one that is refused. So while the cloud
   * had none of a kind last, one batch asks for it, now and then: a shard that asked for all it
   * lacked again and again would use up the changes that submissions and starts need.
   */
  public void rent(MachineType type, int zone, boolean spot, int count) {
    boolean probe = scarce.contains(kind(type.index(), zone, spot));
    for (int left = probe ? Math.min(count, HIRE_BATCH) : count; left > 0; left -= HIRE_BATCH) {
      // The token is never used again, so neither is the name.
      String name = "p" + shard + "-" + token + "-" + ++sequence;
      ScaleOutRequest h =
          hire(
              name,
              new ScaleOutRecord(
                  type.name(),
                  catalog.zones().name(zone),
                  spot,
                  Math.min(left, HIRE_BATCH),
                  null,
                  null),
              0);
      listener.recordChanged(h);
      LOG.info(
          "renting {}: {} {} in {} spot={}",
          name,
          h.asked.count(),
          type.name(),
          h.asked.zone(),
          spot);
    }
  }

  /** Gives machines that nobody has on record to a shard, which may be this one. */
  void adopt(OrphanedMachine kind, List<String> names, int to) {
    LOG.info("adopting {} for shard {}", names, to);
    grant(new ScaleOutRecord(kind.type(), kind.zone(), kind.spot(), 0, names, 0L), to, () -> {});
  }

  /** Gives empty machines to another shard; they are used no more from now on. */
  public void lend(Collection<Machine> given, int to) {
    Map<String, List<Machine>> kinds = new LinkedHashMap<>();
    for (Machine m : given) {
      m.lent();
      kinds
          .computeIfAbsent(kind(m.type().index(), m.zone(), m.spot()), k -> new ArrayList<>())
          .add(m);
    }
    for (List<Machine> group : kinds.values()) {
      for (int i = 0; i < group.size(); i += HIRE_BATCH) {
        List<Machine> some = List.copyOf(group.subList(i, Math.min(group.size(), i + HIRE_BATCH)));
        List<String> names = some.stream().map(m -> m.name()).toList();
        LOG.info("lending {} to shard {}", names, to);
        Machine m = some.get(0);
        grant(
            new ScaleOutRecord(
                m.type().name(), catalog.zones().name(m.zone()), m.spot(), 0, names, 0L),
            to,
            () -> some.forEach(this::leave));
      }
    }
  }

  private void grant(ScaleOutRecord record, int to, Runnable done) {
    String key = ScaleOutRecord.prefix(to) + "g" + shard + "-" + token + "-" + ++sequence;
    listener.recordChanged(new TransferRecord(key, record, done));
  }

  /** Takes note of what has been written: machines given away, rentals that are complete. */
  public void afterWrite() {
    for (ScaleOutRequest h : List.copyOf(hires.values())) {
      if (h.answered && h.machines.isEmpty()) {
        drop(h);
      }
    }
  }

  private void leave(Machine m) {
    if (machines.remove(m.name(), m)) {
      left.put(m.name(), m.hire.fence);
    }
    m.hire.without(m, loop.nowMs());
    listener.recordChanged(m.hire);
  }

  public void giveBack(Machine m, String why) {
    giveBack(List.of(m), why);
  }

  /** Gives machines back to the cloud in this order, in as few calls as there can be. */
  public void giveBack(List<Machine> some, String why) {
    boolean any = false;
    for (Machine m : some) {
      if (!m.returning() && !m.gone()) {
        LOG.info("returning {}: {}", m.name(), why);
        m.beginReturn();
        leaving.add(m);
        any = true;
      }
    }
    if (any) {
      pursue();
    }
  }

  /** How many machines are being given back. */
  public int leavingCount() {
    return leaving.size();
  }

  /** Pursues what is under way: rentals to ask, machines to give back. */
  public void pursue() {
    if (closed || !listener.mayAct()) {
      return;
    }
    for (ScaleOutRequest h : List.copyOf(hires.values())) {
      if (h.answered || !h.recorded() || h.asking) {
        continue;
      }
      if (!h.sent && refused(h.type.index(), h.zone, h.asked.spot())) {
        // A moment ago there were none of its kind; never asked for, so nothing can come of it.
        drop(h);
      } else {
        ask(h);
      }
    }
    if (!givingBack && !leaving.isEmpty()) {
      List<Machine> batch = leaving.stream().limit(RETURN_BATCH).toList();
      givingBack = true;
      cloud.giveBack(
          batch.stream().map(m -> m.name()).toList(),
          () -> !closed && listener.mayAct(),
          ok -> {
            if (closed) {
              return;
            }
            if (ok) {
              givingBack = false;
              batch.forEach(this::returned);
              pursue();
            } else {
              loop.after(
                  AGAIN_MS,
                  () -> {
                    givingBack = false;
                    pursue();
                  });
            }
          });
    }
  }

  private void returned(Machine m) {
    leaving.remove(m);
    m.recordGone();
    leave(m);
    listener.machineGone(m);
  }

  private void ask(ScaleOutRequest h) {
    h.asking = true;
    h.sent = true;
    cloud.rent(
        new CloudMessages.CreateInstances(
            h.name, h.asked.type(), h.asked.zone(), h.asked.spot(), h.asked.count()),
        (how, names) -> {
          if (closed) {
            return;
          }
          switch (how) {
            case GOT -> {
              h.asking = false;
              for (String n : names) {
                if (!machines.containsKey(n) && !left.containsKey(n)) {
                  add(n, h, h.madeMs);
                }
              }
              h.answered(loop.nowMs());
              listener.recordChanged(h);
              if (names.size() < h.asked.count()) {
                refuse(h);
              } else {
                scarce.remove(kind(h));
              }
              afterWrite();
              listener.fleetChanged();
            }
            case REFUSED, MALFORMED -> {
              LOG.info("rental {}: {}", h.name, how);
              refuse(h);
              drop(h);
              listener.fleetChanged();
            }
            default ->
                // It may have been carried out: the same name again, until there is an answer.
                loop.after(
                    AGAIN_MS,
                    () -> {
                      h.asking = false;
                      pursue();
                    });
          }
        });
  }

  private void refuse(ScaleOutRequest h) {
    scarce.add(kind(h));
    refusedUntil.put(kind(h), loop.nowMs() + REFUSED_MS);
  }

  private static String kind(ScaleOutRequest h) {
    return kind(h.type.index(), h.zone, h.asked.spot());
  }

  private void drop(ScaleOutRequest h) {
    hires.remove(h.name);
    h.finish(loop.nowMs());
    listener.recordChanged(h);
  }

  /**
   * Gives back those taken over that have not been heard of and are not listed: some may have been
   * taken while nobody owned them, and silence alone would tell late. To be called once all that
   * was rented before must be listed.
   */
  public void checkInherited() {
    cloud.list(
        listed -> {
          if (closed || listed == null) {
            return;
          }
          Set<String> there = new HashSet<>();
          listed.forEach(l -> there.add(l.name()));
          for (Machine m : List.copyOf(machines.values())) {
            if (m.inherited() && m.lastHeartbeatMs() < 0 && !there.contains(m.name())) {
              giveBack(m, "gone since before the takeover");
            }
          }
        });
  }

  /**
   * Looks through the cloud's list for failed machines of ours, and for machines that no shard
   * knows. The list lags, so strays must stay unknown for long.
   */
  public void check(
      long strayMs, Predicate<String> known, BiConsumer<String, OrphanedMachine> found) {
    cloud.list(
        listed -> {
          if (closed || listed == null) {
            return;
          }
          Set<String> now = new HashSet<>();
          for (CloudMessages.Listed l : listed) {
            Machine m = machines.get(l.name());
            if (m != null) {
              if ("failed".equals(l.status())) {
                giveBack(m, "failed");
              }
            } else if (!known.test(l.name())) {
              now.add(l.name());
              long since = unknownSince.computeIfAbsent(l.name(), k -> loop.nowMs());
              if (loop.nowMs() - since >= strayMs) {
                found.accept(l.name(), new OrphanedMachine(l.type(), l.zone(), l.spot()));
              }
            }
          }
          unknownSince.keySet().retainAll(now);
        });
  }
}
