package dev.windbend.part;

import dev.windbend.daemon.io.Json;
import dev.windbend.daemon.io.Loop;
import dev.windbend.daemon.io.Names;
import dev.windbend.daemon.io.Web;
import dev.windbend.job.Job;
import dev.windbend.job.JobRecord;
import dev.windbend.job.Placement;
import dev.windbend.machine.Catalog;
import dev.windbend.machine.CloudClient;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.HireRecord;
import dev.windbend.machine.Machine;
import dev.windbend.machine.MachineRecord;
import dev.windbend.machine.MachineType;
import dev.windbend.plan.Deadlines;
import dev.windbend.plan.Estimates;
import dev.windbend.plan.Planner;
import dev.windbend.plan.Snapshot;
import dev.windbend.plan.Wanted;
import dev.windbend.store.Committer;
import dev.windbend.store.Replica;
import dev.windbend.store.StoreClient;
import dev.windbend.store.Stored;
import dev.windbend.store.Unit;
import dev.windbend.worker.WorkerDesk;
import dev.windbend.worker.WorkerMessages;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One owned part: its live jobs and machines, rebuilt from the records when it is won, and the loop
 * that plans for them. It acts only while the claim is surely held.
 */
public final class Owner implements WorkerDesk.Book, Fleet.Host {
  private static final Logger LOG = LoggerFactory.getLogger(Owner.class);
  private static final long TICK_MS = 500;
  private static final long ASK_GAP_MS = 1_000;
  private static final long GAP_MS = 150;
  private static final long COMMIT_WAIT_MS = 400;
  private static final long RECALL_SLACK_MS = 1_000;
  private static final double MISSED_REPORTS = 2.5;
  private static final int BAD_JOBS = 2;
  private static final int BAD_MACHINES = 3;
  private static final long BACK_OFF_MS = 5_000;
  private static final int BACK_OFF_DOUBLINGS = 4;
  private static final double BOOT_PATIENCE = 2.5;
  private static final double BOOT_LATE = 1.5;
  private static final long SHORTEST_CHARGE_MS = 60_000;

  private final int part;
  private final long token;
  private final Loop loop;
  private final Replica replica;
  private final Layout layout;
  private final Catalog catalog;
  private final Facts facts;
  private final Policy policy;
  private final Claims claims;
  private final Estimates estimates;
  private final Names images;
  private final BooleanSupplier othersServed;
  private final Committer committer;
  private final Fleet fleet;
  private final WorkerDesk desk;
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final List<Waiting> answers = new ArrayList<>();
  private final List<Machine> spare = new ArrayList<>();
  private final Lender lender;
  private boolean asking;
  private long lastAskMs = Long.MIN_VALUE / 2;
  private boolean ready;
  private boolean closed;
  private boolean roundDue;
  private long lastRoundMs;
  private long lastCheckMs;
  private long lastTellMs;
  private long sureSinceMs = -1;

  /** Asks the other parts' owners for machines; hands how many are coming. */
  public interface Lender {
    void ask(int part, int count, boolean guaranteed, IntConsumer given);
  }

  /** A worker's report whose answer waits for a write. */
  private record Waiting(
      Machine machine,
      WorkerMessages.Report report,
      long untilMs,
      boolean idle,
      Consumer<Web.Answer> done) {}

  public Owner(
      int part,
      long token,
      Loop loop,
      StoreClient store,
      CloudClient cloud,
      Replica replica,
      Layout layout,
      Catalog catalog,
      Facts facts,
      Policy policy,
      Claims claims,
      Estimates estimates,
      Names images,
      BooleanSupplier othersServed,
      Lender lender) {
    this.part = part;
    this.token = token;
    this.loop = loop;
    this.replica = replica;
    this.layout = layout;
    this.catalog = catalog;
    this.facts = facts;
    this.policy = policy;
    this.claims = claims;
    this.estimates = estimates;
    this.images = images;
    this.othersServed = othersServed;
    this.lender = lender;
    this.committer =
        new Committer(
            loop, store, Claims.key(part), token, () -> claims.lose(part), this::afterWrite);
    this.fleet = new Fleet(loop, cloud, catalog, part, token, this);
    this.desk = new WorkerDesk(this);
  }

  /** Waits until the mirror shows all that former owners can have written, then takes over. */
  public void start() {
    if (closed) {
      return;
    }
    if (replica.revision() < token || !catalog.known()) {
      loop.after(20, this::start);
      return;
    }
    long now = loop.nowMs();
    for (Map.Entry<String, Stored> e : replica.below(HireRecord.prefix(part)).entrySet()) {
      HireRecord r = Json.read(e.getValue().value(), HireRecord.class);
      if (r != null) {
        fleet.restore(
            e.getKey().substring(HireRecord.prefix(part).length()), r, e.getValue().version());
      }
    }
    for (Map.Entry<String, Stored> e : replica.below(MachineRecord.KEYS).entrySet()) {
      machineChanged(e.getKey().substring(MachineRecord.KEYS.length()), e.getValue());
    }
    for (Map.Entry<String, Stored> e : replica.below(JobRecord.LIVE).entrySet()) {
      take(e.getValue(), now);
    }
    ready = true;
    LOG.info(
        "part {} taken over with token {}: {} jobs, {} machines",
        part,
        token,
        jobs.size(),
        fleet.machines().size());
    lastRoundMs = now;
    lastCheckMs = now;
    tick();
  }

  public void close() {
    closed = true;
    committer.close();
    fleet.close();
    answers.forEach(a -> a.done().accept(Web.Answer.bare(503)));
    answers.clear();
  }

  public boolean ready() {
    return ready && !closed;
  }

  public int liveJobs() {
    return jobs.size();
  }

  public int machineCount() {
    return fleet.machines().size();
  }

  private Job take(Stored s, long now) {
    JobRecord.Live r = Json.read(s.value(), JobRecord.Live.class);
    int team = r == null || r.spec() == null ? -1 : layout.team(r.spec().team());
    if (team < 0 || layout.partOf(team) != part) {
      return null;
    }
    Job job = new Job(r, s.version(), team);
    List<Placement> placed = new ArrayList<>();
    if (job.inline()) {
      placed.addAll(job.restore(0, r.piece(), 0, now));
    } else {
      for (int i = 0; i < job.pieceCount(); i++) {
        Stored p = replica.get(Job.pieceKey(r.spec().uid(), i));
        if (p != null) {
          JobRecord.Piece piece = Json.read(p.value(), JobRecord.Piece.class);
          placed.addAll(job.restore(i, piece, p.version(), now));
        }
      }
    }
    jobs.put(r.spec().uid(), job);
    for (Placement p : placed) {
      Machine m = fleet.find(p.machine);
      if (m != null) {
        m.add(p);
      } else {
        // Its record went only after the cloud had confirmed its end, or once it was empty.
        job.gone(p, now);
      }
    }
    if (job.cancelled) {
      job.placements().forEach(p -> p.stop(0));
    }
    touched(job);
    return job;
  }

  /** A live job's record has changed in the state service. */
  public void jobChanged(String uid, Stored now) {
    if (!ready()) {
      return;
    }
    Job job = jobs.get(uid);
    if (job == null) {
      if (now != null && take(now, loop.nowMs()) != null) {
        wantRound();
      }
      return;
    }
    if (now == null) {
      // Ended, and it never comes back. Old news of it may have come after we had written its end
      // and forgotten it: without this it would stay, with a write that fails for ever.
      forget(job);
      return;
    }
    JobRecord.Live r = Json.read(now.value(), JobRecord.Live.class);
    if (r != null) {
      boolean before = job.cancelled;
      job.changed(r, now.version());
      if (job.cancelled && !before) {
        LOG.info("{} is cancelled", uid);
        touched(job);
        wantRound();
      }
    }
  }

  private void forget(Job job) {
    jobs.remove(job.spec.uid());
    for (Placement p : job.placements()) {
      Machine m = fleet.find(p.machine);
      if (m != null) {
        m.remove(p, loop.nowMs());
      }
    }
  }

  /** A machine's record has changed: it may be ours now. */
  public void machineChanged(String name, Stored now) {
    MachineRecord r = now == null ? null : Json.read(now.value(), MachineRecord.class);
    if (r != null && r.part() == part && fleet.restore(name, r, now.version()) && ready) {
      LOG.info("{} is ours now", name);
    }
  }

  // ---- workers

  public boolean has(String machine) {
    return fleet.find(machine) != null;
  }

  /** A machine that no part knows, while no rental is unanswered that it could belong to. */
  public boolean adopt(WorkerMessages.Report r) {
    if (!ready() || !mayAct() || rentalOpen()) {
      return false;
    }
    fleet.adopt(r.machine(), r.type(), r.zone(), r.spot());
    return true;
  }

  private boolean rentalOpen() {
    return !replica.below(HireRecord.KEYS).isEmpty() || !fleet.pending().isEmpty();
  }

  public void report(WorkerMessages.Report r, Consumer<Web.Answer> done) {
    Machine m = fleet.find(r.machine());
    long fence = m == null ? 0 : m.token(token);
    if (m == null || m.moved() || r.token() > fence) {
      done.accept(Web.Answer.bare(503));
      return;
    }
    long now = loop.nowMs();
    if (!m.newer(r.shift(), r.tally())) {
      // Held back by the network: older than what we know, and nobody waits for the answer.
      done.accept(answer(m, List.of()));
      return;
    }
    m.shift = r.shift();
    m.tally = r.tally();
    m.seenMs = now;
    m.confirmed = r.token() == fence;
    if (r.recallS() != null && m.recallMs < 0) {
      m.recallMs = now + (long) (r.recallS() * 1000);
      m.draining = true;
      LOG.info("{} is recalled in {} s", m.name, r.recallS());
      wantRound();
    }
    if (!m.confirmed || !mayAct()) {
      // Unsure of our hold, we only keep leases alive: nobody takes a lease's end for proof, and a
      // successor's token is higher. Not if others are served: then the workers should find them.
      done.accept(
          mayAct() || !othersServed.getAsBoolean() ? answer(m, List.of()) : Web.Answer.bare(503));
      return;
    }
    if (m.draining) {
      // What has not started there never will: without this it would stay placed for ever.
      m.tasks.values().stream().filter(p -> !p.seen && !p.inherited).forEach(p -> p.stop(0));
    }
    boolean free = m.tasks.isEmpty();
    int before = m.tasks.size();
    desk.absorb(m, r, now);
    if (m.recallMs >= 0) {
      drain(m, now);
    }
    if (m.tasks.size() < before || free) {
      roundNow(now);
    }
    if (writePending(m)) {
      await(new Waiting(m, r, now + COMMIT_WAIT_MS, false, done), COMMIT_WAIT_MS);
    } else if (hasRoom(m) && desk.orders(m, r, false).isEmpty() && !startPending(m)) {
      // With room and nothing to do, it hears of new work at once instead of at its next report.
      long hold = (long) (1000 * facts.reportS() * policy.idleHold());
      await(new Waiting(m, r, now + hold, true, done), hold);
    } else {
      answerNow(new Waiting(m, r, now, false, done));
    }
  }

  private void await(Waiting w, long ms) {
    answers.add(w);
    loop.after(ms, this::answerWaiting);
  }

  private static boolean hasRoom(Machine m) {
    double free = m.type.cores();
    for (Placement p : m.tasks.values()) {
      free -= p.job.spec.cores();
    }
    return free >= 1 && !m.draining && !m.returning && m.recorded();
  }

  private static boolean startPending(Machine m) {
    for (Placement p : m.tasks.values()) {
      if (!p.seen && p.job.startable(p)) {
        return true;
      }
    }
    return false;
  }

  /** Tasks that can save do so in time; the others may still finish before the machine goes. */
  private void drain(Machine m, long now) {
    for (Placement p : m.tasks.values()) {
      double saveS = p.job.spec.saveS();
      if (p.job.spec.checkpointS() > 0
          && now + RECALL_SLACK_MS + saveS * 1000 + 2 * facts.reportS() * 1000 >= m.recallMs) {
        p.stop(saveS + 1);
      }
    }
  }

  private boolean writePending(Machine m) {
    for (Placement p : m.tasks.values()) {
      if (!p.inherited && !p.seen && !p.stopping() && !p.job.startable(p)) {
        return true;
      }
    }
    return false;
  }

  private void answerNow(Waiting w) {
    Machine m = w.machine();
    boolean newest = m.shift == w.report().shift() && m.tally == w.report().tally();
    boolean mayStart = mayAct() && !m.returning && !m.draining && m.recorded();
    w.done()
        .accept(answer(m, newest && mayAct() ? desk.orders(m, w.report(), mayStart) : List.of()));
  }

  private Web.Answer answer(Machine m, List<WorkerMessages.Order> orders) {
    return Web.Answer.of(200, new WorkerMessages.Orders(m.token(token), orders));
  }

  private void answerWaiting() {
    long now = loop.nowMs();
    for (Waiting w : List.copyOf(answers)) {
      boolean work = !w.idle() || startPending(w.machine()) || !hasRoom(w.machine());
      if (now >= w.untilMs() || work && !writePending(w.machine())) {
        answers.remove(w);
        answerNow(w);
      }
    }
  }

  private void afterWrite() {
    List.copyOf(jobs.values()).stream().filter(Job::archived).forEach(this::forget);
    fleet.afterWrite();
    answerWaiting();
  }

  // ---- what the desk and the fleet need

  @Override
  public Job job(String uid) {
    return jobs.get(uid);
  }

  @Override
  public void touched(Job job) {
    for (Unit u : job.units()) {
      committer.touch(u);
    }
  }

  @Override
  public void completed(Placement p, long nowMs) {
    if (p.runningMs >= 0) {
      estimates.finished(user(p.job), (nowMs - p.runningMs) / 1000.0);
    }
  }

  @Override
  public void failed(Placement p, Machine m) {
    Job job = p.job;
    LOG.info("{} failed on {}", p.taskName(), m.name);
    job.failedOn.add(m.name);
    m.failedJobs.add(job.spec.uid());
    if (m.failedJobs.size() >= BAD_JOBS) {
      quarantine(m);
    }
    if (job.failedOn.size() >= BAD_MACHINES) {
      // It fails everywhere: the job's fault, most likely. Machines are blamed no more for it.
      job.notBeforeMs =
          loop.nowMs() + (BACK_OFF_MS << Math.min(job.failures++, BACK_OFF_DOUBLINGS));
      fleet.machines().forEach(x -> x.failedJobs.remove(job.spec.uid()));
      job.failedOn.clear();
    }
  }

  private void quarantine(Machine m) {
    if (!m.draining) {
      LOG.warn("{} fails tasks of several jobs: quarantined", m.name);
      m.draining = true;
      m.tasks.values().forEach(p -> p.stop(p.job.spec.saveS() + 1));
      wantRound();
    }
  }

  @Override
  public int image(String name) {
    return images.index(name);
  }

  @Override
  public void touch(Unit unit) {
    committer.touch(unit);
  }

  @Override
  public void gone(Machine m) {
    long now = loop.nowMs();
    for (Placement p : List.copyOf(m.tasks.values())) {
      m.remove(p, now);
      p.job.gone(p, now);
      touched(p.job);
    }
    wantRound();
  }

  @Override
  public void fleetChanged() {
    wantRound();
  }

  @Override
  public boolean mayAct() {
    return ready() && claims.owns(part) && claims.surelyHeld();
  }

  // ---- rounds

  private void wantRound() {
    roundDue = true;
    if (policy.roundsOnEvents()) {
      loop.after(GAP_MS, () -> roundNow(loop.nowMs()));
    }
  }

  /** A round on an event: room was freed, or something came. */
  private void roundNow(long now) {
    if (!policy.roundsOnEvents() || closed) {
      return;
    }
    if (now - lastRoundMs < GAP_MS) {
      roundDue = true;
    } else {
      round(now);
    }
  }

  private void tick() {
    if (closed) {
      return;
    }
    long now = loop.nowMs();
    if (mayAct()) {
      if (sureSinceMs < 0) {
        sureSinceMs = now;
      }
      watch(now);
      fleet.pursue();
      if (now - lastRoundMs >= policy.periodMs()
          || policy.roundsOnEvents() && (roundDue || now - lastRoundMs >= 2 * TICK_MS)) {
        round(now);
      }
      committer.run();
      if (now - lastTellMs >= policy.periodMs()) {
        lastTellMs = now;
        tell(now);
      }
      if (now - lastCheckMs >= 2_000 * facts.listLagS()) {
        lastCheckMs = now;
        checkList();
      }
    } else {
      sureSinceMs = -1;
    }
    loop.after(TICK_MS, this::tick);
  }

  /** One line a period, for operators. */
  private void tell(long now) {
    double waiting = 0;
    double placed = 0;
    for (Job j : jobs.values()) {
      waiting += j.waitingCount() * j.spec.cores();
      placed += j.placements().size() * j.spec.cores();
    }
    int up = 0;
    int booting = 0;
    int unsure = 0;
    for (Machine m : fleet.machines()) {
      up += m.usable(now) ? 1 : 0;
      booting += m.seenMs < 0 ? 1 : 0;
      unsure += m.seenMs >= 0 && !m.usable(now) ? 1 : 0;
    }
    LOG.info(
        "part {}: {} jobs, cores waiting {} placed {}; machines up {} booting {} other {}",
        part,
        jobs.size(),
        Math.round(waiting),
        Math.round(placed),
        up,
        booting,
        unsure);
  }

  private void checkList() {
    fleet.check(
        (long) (8_000 * facts.listLagS()),
        part == 0 && !rentalOpen(),
        name -> replica.get(MachineRecord.KEYS + name) != null);
  }

  /** Machines that are silent, never came up, or are due to leave. */
  private void watch(long now) {
    long silentMs = (long) (1000 * Math.max(4 * facts.reportS(), facts.leaseS() * 0.6));
    List<Machine> silent = new ArrayList<>();
    int[] heard = new int[catalog.zones.size()];
    int[] missed = new int[heard.length];
    for (Machine m : List.copyOf(fleet.machines())) {
      if (m.returning) {
        continue;
      }
      if (m.seenMs < 0) {
        // Inherited ones count from the takeover, so they get their time to find us.
        long patience = (long) Math.max(SHORTEST_CHARGE_MS, 1000 * BOOT_PATIENCE * m.type.bootS());
        if (now - m.rentedMs > patience) {
          fleet.giveBack(m, "never came up");
        } else if (!m.tasks.isEmpty()
            && now - Math.max(sureSinceMs, m.rentedMs) > 1000 * facts.leaseS() + silentMs) {
          fleet.giveBack(m, "silent since the takeover");
        }
        continue;
      }
      long quiet = now - Math.max(m.seenMs, sureSinceMs);
      if (quiet > silentMs) {
        silent.add(m);
      }
      if (quiet > MISSED_REPORTS * 1000 * facts.reportS()) {
        missed[m.zone]++;
      } else {
        heard[m.zone]++;
      }
      boolean empty = m.draining && m.tasks.isEmpty();
      if (m.recallMs >= 0 && now > m.recallMs + RECALL_SLACK_MS || empty && m.promisedTo < 0) {
        fleet.giveBack(m, "drained");
      } else if (empty && m.confirmed && m.recorded()) {
        fleet.lend(m, m.promisedTo);
      }
    }
    for (Machine m : silent) {
      // Most of a zone at once looks like a cut: the tasks go on behind it, so they get their
      // whole lease.
      boolean cut = missed[m.zone] > 1 && missed[m.zone] > heard[m.zone];
      long patience = cut ? (long) (1000 * (facts.leaseS() + 2 * facts.reportS())) : silentMs;
      if (now - Math.max(m.seenMs, sureSinceMs) > patience) {
        fleet.giveBack(m, "silent");
      }
    }
    for (Job job : jobs.values()) {
      if (job.cancelled && job.over()) {
        touched(job);
      }
    }
  }

  private String user(Job job) {
    return job.spec.team() + "/" + job.spec.kind();
  }

  private void round(long now) {
    if (!mayAct()) {
      return;
    }
    lastRoundMs = now;
    roundDue = false;
    List<Job> works = new ArrayList<>();
    for (Job j : jobs.values()) {
      if (j.waitingCount() > 0) {
        works.add(j);
      }
    }
    List<Machine> rooms = new ArrayList<>();
    for (Machine m : fleet.machines()) {
      if (!m.returning && !m.draining && now >= m.fullUntilMs) {
        rooms.add(m);
      }
    }
    List<Snapshot.Offer> offers = offers();
    List<List<Placement>> running = new ArrayList<>();
    Wanted wanted = Planner.plan(snapshot(now, works, rooms, offers, running));
    Set<Job> changed = new java.util.LinkedHashSet<>();
    for (Wanted.Stop stop : wanted.stops()) {
      Placement p = running.get(stop.room()).get(stop.running());
      LOG.info("stopping {} on {} to make room", p.taskName(), p.machine);
      p.stop(0);
    }
    for (Wanted.Place place : wanted.places()) {
      Job job = works.get(place.work());
      Machine m = rooms.get(place.room());
      int task = job.nextWaiting();
      Placement p = job.place(task, m.name, now);
      m.add(p);
      changed.add(job);
    }
    changed.forEach(this::touched);
    spare.clear();
    for (int i : wanted.spare()) {
      spare.add(rooms.get(i));
    }
    if (wanted.shortCores() > 0 && !asking && now - lastAskMs >= ASK_GAP_MS) {
      ask(wanted, offers, now);
    } else if (!asking) {
      rent(wanted.rentals(), offers, 0);
    }
    for (int i : wanted.giveBack()) {
      fleet.giveBack(rooms.get(i), "idle at the end of its block");
    }
  }

  /** Idle paid room first, of the other parts too: what they can spare need not be rented. */
  private void ask(Wanted wanted, List<Snapshot.Offer> offers, long now) {
    double largest = catalog.all().stream().mapToDouble(MachineType::cores).max().orElse(1);
    int count = (int) Math.ceil(wanted.shortCores() / largest);
    double below = guaranteedCores() - coresOfMachines();
    boolean guaranteed = below > 0;
    if (guaranteed) {
      count = Math.min(count, (int) Math.ceil(below / largest));
    }
    asking = true;
    lastAskMs = now;
    lender.ask(
        part,
        count,
        guaranteed,
        given -> {
          asking = false;
          if (mayAct()) {
            rent(wanted.rentals(), offers, given);
          }
        });
  }

  private void rent(List<Wanted.Rental> rentals, List<Snapshot.Offer> offers, int less) {
    // Event rounds are many: while the cloud has not answered the last rental, none is added.
    if (!fleet.pending().isEmpty()) {
      return;
    }
    int spared = less;
    for (Wanted.Rental r : rentals) {
      Snapshot.Offer o = offers.get(r.offer());
      int count = Math.max(0, r.count() - spared);
      spared = Math.max(0, spared - r.count());
      if (count > 0) {
        fleet.rent(catalog.type(o.type()), o.zone(), o.spot(), count);
      }
    }
  }

  private double coresOfMachines() {
    double all = 0;
    for (Machine m : fleet.machines()) {
      all += m.returning || m.promisedTo >= 0 ? 0 : m.type.cores();
    }
    return all;
  }

  private double guaranteedCores() {
    double all = 0;
    for (int i = 0; i < facts.teams().size(); i++) {
      all += layout.partOf(i) == part ? facts.teams().get(i).cores() : 0;
    }
    return all;
  }

  /**
   * Another part lacks machines: it gets idle ones, and, if it is within its teams' guarantees, the
   * machines by which this part is above its own, as soon as they are empty.
   */
  public int lend(int to, int count, boolean guaranteed) {
    if (!mayAct()) {
      return 0;
    }
    int given = 0;
    for (Machine m : List.copyOf(spare)) {
      if (given < count && m.usable(loop.nowMs()) && m.tasks.isEmpty() && fleet.find(m.name) == m) {
        spare.remove(m);
        fleet.lend(m, to);
        given++;
      }
    }
    if (guaranteed && given < count) {
      promise(to, count - given);
    }
    return given;
  }

  /** To a part below its guarantee: what this part has above its own. */
  private void promise(int to, int count) {
    double above = coresOfMachines() - guaranteedCores();
    int left = count;
    for (Machine m : fleet.machines()) {
      left -= m.promisedTo == to ? 1 : 0;
    }
    List<Machine> busy = new ArrayList<>(fleet.machines());
    busy.sort(java.util.Comparator.comparingDouble(this::lostByStopping));
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

  private List<Snapshot.Offer> offers() {
    List<Snapshot.Offer> all = new ArrayList<>();
    for (MachineType t : catalog.all()) {
      Snapshot.Size size = new Snapshot.Size(t.cores(), t.cards(), t.ram());
      for (int zone : t.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          if (!fleet.refused(t.index(), zone, spot)) {
            all.add(
                new Snapshot.Offer(
                    t.index(),
                    zone,
                    spot,
                    size,
                    spot ? t.spotPrice() : t.price(),
                    (long) (1000 * t.bootS()),
                    t.fetchGbPerS()));
          }
        }
      }
    }
    return all;
  }

  private Snapshot snapshot(
      long now,
      List<Job> works,
      List<Machine> machines,
      List<Snapshot.Offer> offers,
      List<List<Placement>> running) {
    double[] cores = new double[facts.teams().size()];
    double[] cards = new double[cores.length];
    for (Job j : jobs.values()) {
      // Everything not proved gone counts, wherever it is.
      cores[j.team] += j.placements().size() * j.spec.cores();
      cards[j.team] += j.placements().size() * j.spec.cards();
    }
    List<Snapshot.Team> teams = new ArrayList<>();
    for (int i = 0; i < cores.length; i++) {
      Facts.TeamFact t = facts.teams().get(i);
      teams.add(new Snapshot.Team(t.coresMost(), t.cardsMost(), cores[i], cards[i]));
    }
    Object2IntOpenHashMap<String> roomOf = new Object2IntOpenHashMap<>();
    for (int i = 0; i < machines.size(); i++) {
      roomOf.put(machines.get(i).name, i);
    }
    List<Snapshot.Room> rooms = new ArrayList<>();
    for (Machine m : machines) {
      List<Placement> on = new ArrayList<>(m.tasks.values());
      // What is stopped without grace is gone before the next start on its machine.
      on.removeIf(p -> p.stopGraceS == 0);
      running.add(on);
      rooms.add(room(m, on, now));
    }
    for (Fleet.Pending p : fleet.pending()) {
      for (int i = 0; i < p.count(); i++) {
        rooms.add(pendingRoom(p, now));
      }
    }
    List<Snapshot.Work> views = new ArrayList<>();
    works.forEach(j -> views.add(work(j, now, roomOf)));
    int most = (int) Math.max(1, facts.cloudRps() * policy.periodMs() / 1000.0 / facts.nodes());
    return new Snapshot(
        now,
        policy.periodMs(),
        (long) (2_000 * facts.reportS()),
        most,
        teams,
        views,
        rooms,
        offers);
  }

  private Snapshot.Room room(Machine m, List<Placement> on, long now) {
    MachineType t = m.type;
    Snapshot.Size free = new Snapshot.Size(t.cores(), t.cards(), t.ram());
    List<Snapshot.Running> running = new ArrayList<>();
    for (Placement p : on) {
      Snapshot.Size size = size(p.job);
      free = free.minus(size);
      running.add(
          new Snapshot.Running(
              expectedEnd(p, t, now), size, p.job.spec.urgency().ordinal(), lostMs(p, now)));
    }
    boolean up = m.usable(now);
    long sinceS = (now - m.rentedMs) / 1000;
    long ready =
        m.seenMs >= 0
            ? now + 1_000
            : sinceS > BOOT_LATE * t.bootS()
                ? now + (long) (1000 * BOOT_PATIENCE * t.bootS())
                : Math.max(m.rentedMs + (long) (1000 * t.bootS()), now + 1_000);
    long block = policy.blockMs();
    // The block in which it went idle (or now, if it is busy) is paid to its end.
    long ref = m.idleSinceMs >= 0 ? m.idleSinceMs : now;
    long blocks = Math.max(1, (Math.max(0, ref - m.rentedMs) + block - 1) / block);
    return new Snapshot.Room(
        t.index(),
        m.zone,
        m.spot,
        up,
        free,
        ready,
        m.tasks.isEmpty(),
        m.rentedMs + blocks * block,
        m.spot ? t.spotPrice() : t.price(),
        t.fetchGbPerS(),
        m.images,
        running);
  }

  /** What stopping it at once would lose; -1: it is being stopped, or its state is not known. */
  private static long lostMs(Placement p, long now) {
    if (p.stopping() || p.inherited && !p.seen) {
      return -1;
    }
    long ran = p.runningMs < 0 ? 0 : now - p.runningMs;
    long step = (long) (1000 * p.job.spec.checkpointS());
    return step > 0 ? ran % step : ran;
  }

  private Snapshot.Room pendingRoom(Fleet.Pending p, long now) {
    MachineType t = p.type();
    long ready = Math.max(p.sinceMs() + (long) (1000 * t.bootS()), now + 1_000);
    return new Snapshot.Room(
        t.index(),
        p.zone(),
        p.spot(),
        false,
        new Snapshot.Size(t.cores(), t.cards(), t.ram()),
        ready,
        false,
        ready,
        p.spot() ? t.spotPrice() : t.price(),
        t.fetchGbPerS(),
        new IntOpenHashSet(),
        List.of());
  }

  private static Snapshot.Size size(Job j) {
    return new Snapshot.Size(j.spec.cores(), j.spec.cards(), j.spec.ram());
  }

  private double estimateS(Job j) {
    return Math.max(1, estimates.of(user(j), j.spec.estimateS()));
  }

  private long expectedEnd(Placement p, MachineType t, long now) {
    if (p.stopping()) {
      return now + (long) (1000 * p.stopGraceS) + 1_000;
    }
    double e = estimateS(p.job);
    if (p.runningMs < 0) {
      return p.placedMs
          + (long) (1000 * (e + p.job.spec.imageGb() / Math.max(0.01, t.fetchGbPerS())));
    }
    return p.runningMs + (long) (1000 * Estimates.corrected(e, (now - p.runningMs) / 1000.0));
  }

  private Snapshot.Work work(Job j, long now, Object2IntOpenHashMap<String> roomOf) {
    boolean[] types = null;
    if (j.spec.types() != null) {
      types = new boolean[catalog.all().size()];
      for (MachineType t : catalog.all()) {
        types[t.index()] = j.spec.types().contains(t.name());
      }
    }
    int[] perZone = new int[catalog.zones.size()];
    for (Placement p : j.placements()) {
      Machine m = fleet.find(p.machine);
      if (m != null) {
        perZone[m.zone]++;
      }
    }
    IntOpenHashSet avoid = new IntOpenHashSet();
    for (String m : j.failedOn) {
      if (roomOf.containsKey(m)) {
        avoid.add(roomOf.getInt(m));
      }
    }
    double[] limits =
        facts
            .aims()
            .limits(
                j.spec.kind(),
                j.spec.dueS(),
                policy.impliedDue() * j.spec.estimateS(),
                policy.dueFromAims());
    long age = loop.wallMs() - j.submittedWallMs;
    double estimateS = estimateS(j);
    Deadlines due = Deadlines.next(limits, age / 1000.0, estimateS);
    return new Snapshot.Work(
        j.team,
        j.spec.urgency().ordinal(),
        size(j),
        types,
        j.spec.zone() == null ? -1 : catalog.zones.index(j.spec.zone()),
        j.spec.together(),
        j.spec.spread(),
        j.spec.spot(),
        images.index(j.spec.image()),
        j.spec.imageGb(),
        j.spec.tasks(),
        j.waitingCount(),
        perZone,
        (long) (1000 * estimateS),
        now - age + (long) (1000 * due.dueS()),
        due.hopeless(),
        j.notBeforeMs,
        avoid);
  }
}
