package dev.windbend.part;

import com.fasterxml.jackson.databind.JsonNode;
import dev.windbend.daemon.io.Json;
import dev.windbend.daemon.io.Loop;
import dev.windbend.daemon.io.Names;
import dev.windbend.daemon.io.Web;
import dev.windbend.job.Board;
import dev.windbend.job.Cancellations;
import dev.windbend.job.Job;
import dev.windbend.job.JobRecord;
import dev.windbend.job.Placement;
import dev.windbend.machine.Catalog;
import dev.windbend.machine.CloudClient;
import dev.windbend.machine.Directory;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.HireRecord;
import dev.windbend.machine.Machine;
import dev.windbend.machine.Stray;
import dev.windbend.machine.Strays;
import dev.windbend.machine.Watch;
import dev.windbend.peer.Peers;
import dev.windbend.plan.Estimates;
import dev.windbend.store.Committer;
import dev.windbend.store.Pages;
import dev.windbend.store.Replica;
import dev.windbend.store.StoreClient;
import dev.windbend.store.Stored;
import dev.windbend.store.Unit;
import dev.windbend.worker.DirectStops;
import dev.windbend.worker.Reports;
import dev.windbend.worker.WorkerDesk;
import dev.windbend.worker.WorkerMessages;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One owned part: its live jobs and machines, rebuilt from the records when it is won, and the
 * loops that look after them. It acts only while the claim is surely held.
 */
public final class Owner implements WorkerDesk.Book, Fleet.Host, Reports.Host {
  private static final Logger LOG = LoggerFactory.getLogger(Owner.class);
  private static final long TICK_MS = 500;
  private static final int BAD_JOBS = 2;
  private static final int BAD_MACHINES = 3;
  private static final long BACK_OFF_MS = 5_000;
  private static final int BACK_OFF_DOUBLINGS = 4;

  private final int part;
  private final long token;
  private final Loop loop;
  private final StoreClient store;
  private final Replica replica;
  private final Catalog catalog;
  private final Directory directory;
  private final Facts facts;
  private final Policy policy;
  private final Claims claims;
  private final Peers peers;
  private final Cancellations cancellations;
  private final Estimates estimates;
  private final Names images;
  private final Committer committer;
  private final Pages pages;
  private final Board board;
  private final Fleet fleet;
  private final Strays strays;
  private final Watch watch;
  private final Loans loans;
  private final Rounds rounds;
  private final Reports reports;
  private final PartLog log;
  private boolean ready;
  private boolean closed;
  private boolean checkedInherited;
  private long startedMs;
  private long lastCheckMs;
  private long sureSinceMs = -1;

  /** Asks the other parts' owners for machines; hands what is coming. */
  public interface Lender {
    void ask(int part, MachineRequest request, Consumer<MachineRequest.Reply> done);
  }

  /** What all parts of a node share. */
  public record Shared(
      Loop loop,
      StoreClient store,
      CloudClient cloud,
      Replica replica,
      Layout layout,
      Catalog catalog,
      Directory directory,
      Facts facts,
      Policy policy,
      Claims claims,
      Peers peers,
      Cancellations cancellations,
      DirectStops directStops,
      Estimates estimates,
      Names images,
      Lender lender) {}

  public Owner(int part, long token, Shared with) {
    this.part = part;
    this.token = token;
    this.loop = with.loop;
    this.store = with.store;
    this.replica = with.replica;
    this.catalog = with.catalog;
    this.directory = with.directory;
    this.facts = with.facts;
    this.policy = with.policy;
    this.claims = with.claims;
    this.peers = with.peers;
    this.cancellations = with.cancellations;
    this.estimates = with.estimates;
    this.images = with.images;
    this.committer =
        new Committer(
            loop,
            with.store,
            Claims.key(part),
            token,
            facts.writeGapMs(with.layout.parts()),
            () -> claims.lose(part),
            this::afterWrite);
    this.pages = new Pages(JobRecord.pages(part), facts.valueBytes(), with.store.opsLimit());
    this.board = new Board(name -> teamHere(with.layout, name), committer, pages);
    this.fleet = new Fleet(loop, with.cloud, catalog, part, token, this);
    this.strays = new Strays(loop, with.store, fleet, with.layout.parts());
    this.watch = new Watch(fleet, catalog.zones.size(), facts.reportS(), facts.leaseS());
    this.loans = new Loans(part, loop, fleet, guaranteedCores(with.layout), with.lender);
    this.rounds =
        new Rounds(
            loop,
            catalog,
            facts,
            policy,
            estimates,
            images,
            board,
            fleet,
            loans,
            token,
            this::mayAct);
    this.reports =
        new Reports(
            loop,
            fleet,
            new WorkerDesk(this),
            with.directStops,
            this,
            token,
            facts.reportS(),
            facts.leaseS(),
            policy.idleHold());
    this.log = new PartLog(part, loop, board, fleet, facts, policy.periodMs(), rounds, pages);
  }

  private int teamHere(Layout layout, String name) {
    int team = layout.team(name);
    return team >= 0 && layout.partOf(team) == part ? team : -1;
  }

  private double guaranteedCores(Layout layout) {
    double all = 0;
    for (int i = 0; i < facts.teams().size(); i++) {
      all += layout.partOf(i) == part ? facts.teams().get(i).cores() : 0;
    }
    return all;
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
    String hires = HireRecord.prefix(part);
    for (Map.Entry<String, Stored> e : replica.below(hires).entrySet()) {
      hire(e.getKey().substring(hires.length()), e.getValue());
    }
    SortedMap<String, JsonNode> left = pages.restore(replica.below(JobRecord.pages(part)));
    for (Map.Entry<String, Stored> e : replica.below(JobRecord.LIVE).entrySet()) {
      take(e.getValue(), left, now);
    }
    pages.allRestored();
    ready = true;
    LOG.info(
        "part {} taken over with token {}: {} jobs, {} machines",
        part,
        token,
        board.all().size(),
        fleet.machines().size());
    startedMs = now;
    lastCheckMs = now;
    tick();
  }

  public void close() {
    closed = true;
    committer.close();
    fleet.close();
    strays.close();
    reports.close();
  }

  public boolean ready() {
    return ready && !closed;
  }

  public int liveJobs() {
    return board.all().size();
  }

  /** How old the oldest job with tasks that wait is, 0: none. */
  public int oldestWaitS() {
    return log.oldestWaitS();
  }

  public int machineCount() {
    return fleet.machines().size();
  }

  // ---- jobs

  private boolean take(Stored s, SortedMap<String, JsonNode> left, long now) {
    Job job = board.take(s, left, now);
    if (job == null) {
      return false;
    }
    for (Placement p : List.copyOf(job.placements())) {
      Machine m = fleet.find(p.machine);
      if (m != null) {
        m.add(p);
      } else {
        // Its record went only after the cloud had confirmed its end, or once it was empty.
        job.gone(p);
      }
    }
    if (job.cancelled || cancellations.ahead(job.spec.uid())) {
      job.cancel();
    }
    board.touched(job);
    return true;
  }

  /** A live job's record has changed in the state service. */
  public void jobChanged(String uid, Stored now) {
    if (!ready()) {
      return;
    }
    Job job = board.find(uid);
    if (job == null) {
      if (now != null && take(now, Collections.emptySortedMap(), loop.nowMs())) {
        rounds.want();
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
        cancelled(job);
      }
    }
  }

  /** Confirmed to its user, though the mirror may not show it yet. */
  public void cancel(String uid) {
    Job job = ready() ? board.find(uid) : null;
    if (job != null && !job.cancelled) {
      job.cancel();
      cancelled(job);
    }
  }

  private void cancelled(Job job) {
    LOG.info("{} is cancelled", job.spec.uid());
    reports.cancelled(job);
    board.touched(job);
    rounds.want();
  }

  private void forget(Job job) {
    board.forget(job);
    if (job.doneCount() == 0) {
      fleet.machines().forEach(m -> m.failedJobs.remove(job.spec.uid()));
    }
    for (Placement p : job.placements()) {
      Machine m = fleet.find(p.machine);
      if (m != null) {
        m.remove(p, loop.nowMs());
      }
    }
  }

  // ---- machines

  /** A record of machines has changed: another part may have given us some. */
  public void hireChanged(String key, Stored now) {
    String hires = HireRecord.prefix(part);
    if (ready() && now != null && key.startsWith(hires)) {
      hire(key.substring(hires.length()), now);
      rounds.want();
    }
  }

  private void hire(String name, Stored s) {
    HireRecord r = Json.read(s.value(), HireRecord.class);
    if (r != null) {
      fleet.restore(name, r, s.version(), directory, !ready);
    }
  }

  public boolean has(String machine) {
    return fleet.find(machine) != null;
  }

  /** A machine that no part knows; only the first part's owner takes them in. */
  public void stray(WorkerMessages.Report r) {
    if (ready() && mayAct()) {
      strays.note(r.machine(), new Stray(r.type(), r.zone(), r.spot()));
    }
  }

  public void report(WorkerMessages.Report r, Consumer<Web.Answer> done) {
    reports.report(r, done);
  }

  /** Lends to another part; says what is coming. */
  public MachineRequest.Reply lend(int to, MachineRequest request) {
    return mayAct() ? loans.lend(to, request) : MachineRequest.Reply.NOTHING;
  }

  // ---- what the slices need

  @Override
  public Job job(String uid) {
    return board.find(uid);
  }

  @Override
  public boolean cancelled(String uid) {
    Job job = board.find(uid);
    return job != null && job.cancelled || cancellations.ahead(uid);
  }

  @Override
  public void touched(Job job) {
    board.touched(job);
  }

  @Override
  public void completed(Placement p, long nowMs) {
    if (p.runningMs >= 0) {
      estimates.finished(Rounds.user(p.job), (nowMs - p.runningMs) / 1000.0);
    }
  }

  @Override
  public void failed(Placement p, Machine m) {
    Job job = p.job;
    LOG.info("{} failed on {}", p.taskName(), m.name);
    job.failedOn.add(m.name);
    m.failedJobs.add(job.spec.uid());
    if (m.failedJobs.stream().filter(this::runsElsewhere).count() >= BAD_JOBS) {
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

  /**
   * Only then is its failure the machine's fault: jobs submitted with a mistake fail on every
   * machine, and two of them would have good machines quarantined, most of all after a takeover.
   */
  private boolean runsElsewhere(String uid) {
    Job job = board.find(uid);
    return job == null || job.doneCount() > 0;
  }

  private void quarantine(Machine m) {
    if (!m.draining) {
      LOG.warn("{} fails tasks of several jobs: quarantined", m.name);
      m.draining = true;
      m.tasks.values().forEach(p -> p.stop(p.job.spec.saveS() + 1));
      rounds.want();
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
      p.job.gone(p);
      board.touched(p.job);
    }
    rounds.want();
  }

  @Override
  public void fleetChanged() {
    rounds.want();
  }

  @Override
  public void wantRound() {
    rounds.want();
  }

  @Override
  public void roundNow() {
    rounds.now();
  }

  @Override
  public boolean mayAct() {
    return ready() && claims.owns(part) && claims.surelyHeld();
  }

  @Override
  public boolean mayKeepWorkers() {
    return peers.mayKeepWorkers();
  }

  private void afterWrite() {
    board.archived().forEach(this::forget);
    fleet.afterWrite();
    reports.answerWaiting();
  }

  // ---- again and again

  private void tick() {
    if (closed) {
      return;
    }
    long now = loop.nowMs();
    if (mayAct()) {
      if (sureSinceMs < 0) {
        sureSinceMs = now;
      }
      if (watch.lostWorkers(now, Math.max(sureSinceMs, claims.heardMs()))) {
        claims.leaveToOthers(part);
      }
      watch.look(now, sureSinceMs);
      for (Job job : board.all()) {
        if (job.cancelled && job.over()) {
          board.touched(job);
        }
      }
      loans.tick(now);
      fleet.pursue();
      rounds.tick(2 * TICK_MS);
      committer.run();
      log.tick(now);
      if (!checkedInherited && now - startedMs >= 2_500 * facts.listLagS()) {
        checkedInherited = true;
        fleet.checkInherited();
      }
      if (part == 0 && now - lastCheckMs >= 2_000 * facts.listLagS()) {
        lastCheckMs = now;
        fleet.check((long) (8_000 * facts.listLagS()), directory::knows, strays::note);
      }
    } else {
      sureSinceMs = -1;
      log.unsure(now, store.failingForMs());
    }
    loop.after(TICK_MS, this::tick);
  }
}
