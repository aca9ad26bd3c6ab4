package dev.windbend.part;

import dev.windbend.daemon.io.Loop;
import dev.windbend.job.Placement;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.IntConsumer;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Machines that go from one part to another: asked for, given, promised. */
final class Loans {
  private static final Logger LOG = LoggerFactory.getLogger(Loans.class);
  private static final long ASK_GAP_MS = 2_000;

  private static final int MOST = 100;
  private static final double STARVED = 0.5;

  private final int part;
  private final Loop loop;
  private final Fleet fleet;
  private final double guaranteedCores;
  private final Owner.Lender lender;
  private final List<Machine> spare = new ArrayList<>();
  private boolean asking;
  private long lastAskMs = Long.MIN_VALUE / 2;

  Loans(int part, Loop loop, Fleet fleet, double guaranteedCores, Owner.Lender lender) {
    this.part = part;
    this.loop = loop;
    this.fleet = fleet;
    this.guaranteedCores = guaranteedCores;
    this.lender = lender;
  }

  boolean asking() {
    return asking;
  }

  boolean mayAsk() {
    return !asking && loop.nowMs() - lastAskMs >= ASK_GAP_MS;
  }

  /** What the last round left idle. */
  void spare(List<Machine> machines) {
    spare.clear();
    spare.addAll(machines);
  }

  /** Idle paid room first, of the other parts too: what they can spare need not be rented. */
  void ask(double shortCores, double largest, boolean cloudHasMore, IntConsumer given) {
    int count = (int) Math.ceil(shortCores / largest);
    double below = guaranteedCores - cores(m -> true);
    // What the cloud still has is not taken from others.
    boolean guaranteed = below > 0 && !cloudHasMore;
    double has = guaranteed ? 1 - below / guaranteedCores : 1;
    if (guaranteed) {
      count = Math.min(count, (int) Math.ceil(below / largest));
    }
    asking = true;
    lastAskMs = loop.nowMs();
    lender.ask(
        part,
        Math.min(MOST, count),
        has,
        n -> {
          asking = false;
          given.accept(n);
        });
  }

  private double cores(Predicate<Machine> which) {
    double all = 0;
    for (Machine m : fleet.machines()) {
      all += m.returning || m.promisedTo >= 0 || !which.test(m) ? 0 : m.type.cores();
    }
    return all;
  }

  /**
   * Another part lacks machines: it gets idle ones, and, if it has less than its teams' guarantees,
   * some of the busy ones as soon as they are empty.
   */
  int lend(int to, int count, double has) {
    List<Machine> given = new ArrayList<>();
    for (Machine m : spare) {
      if (given.size() < count
          && m.mayBeLent()
          && m.usable(loop.nowMs())
          && m.tasks.isEmpty()
          && fleet.find(m.name) == m) {
        given.add(m);
      }
    }
    spare.removeAll(given);
    fleet.lend(given, to);
    int coming = given.size();
    if (has < 1 && coming < count) {
      promise(to, count - coming, has);
      // Those promised count as coming. Otherwise every other part would promise as many too, and
      // the asking one would end up with machines that it has no work for.
      coming = Math.min(count, coming + promised(to));
    }
    return coming;
  }

  private int promised(int to) {
    int n = 0;
    for (Machine m : fleet.machines()) {
      n += m.promisedTo == to ? 1 : 0;
    }
    return n;
  }

  /**
   * To a part below its guarantee: what this part has above its own, and, to one that has hardly
   * any of it, half of what this one has more, as parts of the guarantees.
   */
  private void promise(int to, int count, double has) {
    // What is booting may take long: given away is only what is there.
    double up = cores(m -> m.usable(loop.nowMs()));
    double above = up - guaranteedCores;
    if (has < STARVED) {
      // Not all guarantees can be met, so they are met alike: no part is left with nothing.
      above = Math.max(above, (up - has * guaranteedCores) / 2);
    }
    int left = count - promised(to);
    List<Machine> busy = new ArrayList<>(fleet.machines());
    busy.sort(Comparator.comparingDouble(this::lostByStopping));
    for (Machine m : busy) {
      if (left > 0 && above >= m.type.cores() && m.usable(loop.nowMs())) {
        LOG.info("{} is promised to part {}", m.name, to);
        m.promisedTo = to;
        m.draining = true;
        above -= m.type.cores();
        left--;
        for (Placement p : m.tasks.values()) {
          // What can save is stopped; the others may finish first.
          if (p.job.spec.checkpointS() > 0) {
            p.stop(p.job.spec.saveS() + 1);
          }
        }
      }
    }
  }

  private double lostByStopping(Machine m) {
    double all = 0;
    long now = loop.nowMs();
    for (Placement p : m.tasks.values()) {
      all +=
          p.job.spec.cores() * (p.job.spec.checkpointS() > 0 ? 1 : Math.max(1, now - p.placedMs));
    }
    return all;
  }
}
