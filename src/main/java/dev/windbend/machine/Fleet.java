package dev.windbend.machine;

import dev.windbend.daemon.io.Loop;
import dev.windbend.store.Unit;
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
 * The machines of one part. Wanted and actual differ by rentals under way and machines to give
 * back; both are pursued until the cloud has surely answered.
 */
public final class Fleet {
  private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
  private static final int RETURN_BATCH = 100;
  private static final int HIRE_BATCH = 50;
  private static final long REFUSED_MS = 8_000;
  private static final long AGAIN_MS = 1_500;

  private final Loop loop;
  private final CloudClient cloud;
  private final Catalog catalog;
  private final int part;
  private final long token;
  private final Host host;
  private final Map<String, Hire> hires = new LinkedHashMap<>();
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private final Set<Machine> leaving = new LinkedHashSet<>();
  private final Object2LongOpenHashMap<String> refusedUntil = new Object2LongOpenHashMap<>();
  private final Map<String, Long> unknownSince = new HashMap<>();

  /** Last known versions of machines that left, so that old news do not bring them back. */
  private final Object2LongOpenHashMap<String> left = new Object2LongOpenHashMap<>();

  private long sequence;
  private boolean givingBack;
  private boolean closed;

  /** What the fleet needs of its owner. */
  public interface Host {
    void touch(Unit unit);

    /** The cloud has confirmed: the machine and all that was on it are gone. */
    void gone(Machine machine);

    /** New machines are on their way, or a rental was refused. */
    void fleetChanged();

    boolean mayAct();
  }

  public Fleet(Loop loop, CloudClient cloud, Catalog catalog, int part, long token, Host host) {
    this.loop = loop;
    this.cloud = cloud;
    this.catalog = catalog;
    this.part = part;
    this.token = token;
    this.host = host;
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
   * A rental found in the state service. Without an answer it is asked again under its name, else
   * its machines are this part's but for those that have records of their own.
   */
  public void restore(
      String name, HireRecord record, long version, Predicate<String> hasOwnRecord) {
    Hire h = hire(name, record, version);
    if (h == null || record.open()) {
      return;
    }
    for (String n : record.machines()) {
      if (!machines.containsKey(n) && !hasOwnRecord.test(n)) {
        Machine m = add(n, h.type, record.zone(), record.spot(), part, h, 0, loop.nowMs());
        m.listed();
        h.machines.add(m);
      }
    }
    if (h.machines.size() < record.machines().size()) {
      afterWrite();
    }
  }

  /** A machine found in the state service, or given to this part by another. */
  public boolean restore(String name, MachineRecord record, long version) {
    MachineType type = catalog.find(record.type());
    if (machines.containsKey(name) || type == null || version <= left.getLong(name)) {
      return false;
    }
    add(name, type, record.zone(), record.spot(), part, null, version, loop.nowMs());
    return true;
  }

  private Hire hire(String name, HireRecord record, long version) {
    MachineType type = catalog.find(record.type());
    if (type == null) {
      LOG.error("rental {} names the unknown type {}", name, record.type());
      return null;
    }
    int zone = catalog.zones.index(record.zone());
    Hire h = new Hire(name, part, record, type, zone, version, loop.nowMs());
    hires.put(name, h);
    return h;
  }

  private Machine add(
      String name,
      MachineType type,
      String zone,
      boolean spot,
      int to,
      Hire hire,
      long version,
      long rentedMs) {
    Machine m =
        new Machine(
            name,
            type,
            catalog.zones.index(zone),
            zone,
            spot,
            part,
            hire,
            version,
            rentedMs,
            loop.nowMs());
    m.moveTo(to);
    machines.put(name, m);
    if (m.dirty()) {
      host.touch(m);
    }
    return m;
  }

  /** Not to be asked for now: the cloud had none a moment ago. */
  public boolean refused(int type, int zone, boolean spot) {
    return refusedUntil.getLong(kind(type, zone, spot)) > loop.nowMs();
  }

  private static String kind(int type, int zone, boolean spot) {
    return type + "/" + zone + "/" + spot;
  }

  /** Machines asked for and not answered yet. */
  public Collection<Pending> pending() {
    List<Pending> all = new ArrayList<>();
    for (Hire h : hires.values()) {
      if (!h.answered) {
        all.add(new Pending(h.type, h.zone, h.asked.spot(), h.asked.count(), h.madeMs));
      }
    }
    return all;
  }

  public record Pending(MachineType type, int zone, boolean spot, int count, long sinceMs) {}

  public void rent(MachineType type, int zone, boolean spot, int count) {
    for (int left = count; left > 0; left -= HIRE_BATCH) {
      // The token is never used again, so neither is the name.
      String name = "p" + part + "-" + token + "-" + ++sequence;
      Hire h =
          hire(
              name,
              new HireRecord(
                  type.name(), catalog.zones.name(zone), spot, Math.min(left, HIRE_BATCH), null),
              0);
      host.touch(h);
      LOG.info(
          "renting {}: {} {} in {} spot={}",
          name,
          h.asked.count(),
          type.name(),
          h.asked.zone(),
          spot);
    }
  }

  /** Takes in, for some part, a machine that nobody rented under a known name. */
  void adopt(String name, Stray stray, int to) {
    MachineType type = catalog.find(stray.type());
    if (!machines.containsKey(name) && type != null) {
      LOG.info("adopting {} for part {}", name, to);
      add(name, type, stray.zone(), stray.spot(), to, null, 0, loop.nowMs());
    }
  }

  /** Gives an empty machine to another part; used no more from now on. */
  public void lend(Machine m, int to) {
    LOG.info("lending {} to part {}", m.name, to);
    m.moveTo(to);
    host.touch(m);
  }

  /** Takes note of what has been written: machines given away, rentals that are complete. */
  public void afterWrite() {
    long now = loop.nowMs();
    for (Machine m : List.copyOf(machines.values())) {
      if (m.moved()) {
        leave(m, now);
      }
    }
    for (Hire h : List.copyOf(hires.values())) {
      if (h.answered && h.machines.isEmpty()) {
        drop(h);
      }
    }
  }

  private void leave(Machine m, long now) {
    machines.remove(m.name);
    left.put(m.name, m.version());
    if (m.hire != null) {
      m.hire.without(m, now);
      host.touch(m.hire);
    }
  }

  public void giveBack(Machine m, String why) {
    if (!m.returning && !m.gone) {
      LOG.info("returning {}: {}", m.name, why);
      m.returning = true;
      leaving.add(m);
      pursue();
    }
  }

  /** Pursues what is under way: rentals to ask, machines to give back. */
  public void pursue() {
    if (closed || !host.mayAct()) {
      return;
    }
    for (Hire h : List.copyOf(hires.values())) {
      if (!h.answered && h.recorded() && !h.asking) {
        ask(h);
      }
    }
    if (!givingBack && !leaving.isEmpty()) {
      List<Machine> batch = leaving.stream().limit(RETURN_BATCH).toList();
      givingBack = true;
      cloud.giveBack(
          batch.stream().map(m -> m.name).toList(),
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
    m.gone = true;
    leave(m, loop.nowMs());
    if (m.dirty()) {
      host.touch(m);
    }
    host.gone(m);
  }

  private void ask(Hire h) {
    h.asking = true;
    cloud.rent(
        new CloudMessages.Rental(
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
                  h.machines.add(
                      add(n, h.type, h.asked.zone(), h.asked.spot(), part, h, 0, h.madeMs));
                }
              }
              h.answered(loop.nowMs());
              host.touch(h);
              if (names.size() < h.asked.count()) {
                refuse(h);
              }
              afterWrite();
              host.fleetChanged();
            }
            case REFUSED, MALFORMED -> {
              LOG.info("rental {}: {}", h.name, how);
              refuse(h);
              drop(h);
              host.fleetChanged();
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

  private void refuse(Hire h) {
    refusedUntil.put(kind(h.type.index(), h.zone, h.asked.spot()), loop.nowMs() + REFUSED_MS);
  }

  private void drop(Hire h) {
    hires.remove(h.name);
    h.finish(loop.nowMs());
    host.touch(h);
  }

  /**
   * Looks through the cloud's list for failed machines of ours, and for machines that no part
   * knows. The list lags, so strays must stay unknown for long.
   */
  public void check(long strayMs, Predicate<String> known, BiConsumer<String, Stray> found) {
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
                found.accept(l.name(), new Stray(l.type(), l.zone(), l.spot()));
              }
            }
          }
          unknownSince.keySet().retainAll(now);
        });
  }
}
