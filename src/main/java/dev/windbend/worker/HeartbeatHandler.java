package dev.windbend.worker;

import dev.windbend.job.Job;
import dev.windbend.job.Placement;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;
import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.ServerResponse;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes the reports of a shard's workers and answers each, at once or when there is news. */
public final class HeartbeatHandler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);

  /** A worker drops an answer after 4 s; this leaves time for the way and for a slow node. */
  private static final long LONGEST_HOLD_MS = 2_600;

  private static final long RECALL_SLACK_MS = 1_000;

  private final EventLoop loop;
  private final Fleet fleet;
  private final TaskReconciler reconciler;
  private final DirectStopClient directStops;
  private final Leadership leadership;
  private final SchedulingTrigger scheduling;
  private final long token;
  private final long reportMs;
  private final long leaseMs;
  private final long idleHoldMs;
  private final Map<Machine, Waiting> waiting = new LinkedHashMap<>();

  /** Whether this controller leads the shard. */
  public interface Leadership {
    /** It certainly does, so it may give orders. */
    boolean mayAct();

    /** Though it can't be sure that it does, no other controller could use the workers now. */
    boolean mayKeepWorkers();
  }

  /** Has scheduling cycles run. */
  public interface SchedulingTrigger {
    /** Capacity was freed, or a machine leaves: a cycle follows soon. */
    void requestCycle();

    /** A cycle runs at once, unless one has just been: then soon. */
    void runCycleNow();
  }

  /** A report whose answer waits for a write, or for work. */
  private record Waiting(
      Machine machine,
      WorkerMessages.Heartbeat report,
      long untilMs,
      boolean idle,
      Consumer<ServerResponse> done) {}

  public HeartbeatHandler(
      EventLoop loop,
      Fleet fleet,
      TaskReconciler reconciler,
      DirectStopClient directStops,
      Leadership leadership,
      SchedulingTrigger scheduling,
      long token,
      double reportS,
      double leaseS,
      double idleHold) {
    this.loop = loop;
    this.fleet = fleet;
    this.reconciler = reconciler;
    this.directStops = directStops;
    this.leadership = leadership;
    this.scheduling = scheduling;
    this.token = token;
    this.reportMs = (long) (1000 * reportS);
    this.leaseMs = (long) (1000 * leaseS);
    this.idleHoldMs = Math.min(LONGEST_HOLD_MS, (long) (1000 * reportS * idleHold));
  }

  public void close() {
    waiting.values().forEach(w -> w.done().accept(ServerResponse.ofStatus(503)));
    waiting.clear();
  }

  public void report(WorkerMessages.Heartbeat r, Consumer<ServerResponse> done) {
    Machine m = fleet.find(r.machine());
    long fence = m == null ? 0 : m.token(token);
    if (m == null || r.token() > fence) {
      done.accept(ServerResponse.ofStatus(503));
      return;
    }
    long now = loop.nowMs();
    if (!m.newer(r.shift(), r.tally())) {
      // A late copy, or held back by the network: older than what we know, and nobody waits for the
      // answer. It proves nothing and renews nothing.
      done.accept(unsure(m, r));
      return;
    }
    release(m);
    m.endAwaitingResponse();
    listen(m, r, fence, now);
    m.recordHeartbeat(r.shift(), r.tally(), r.address(), r.token() == fence, now);
    if (r.recallS() != null && m.recallMs() < 0) {
      m.recordRecall(now + (long) (r.recallS() * 1000));
      LOG.info("{} is recalled in {} s", m.name(), r.recallS());
      scheduling.requestCycle();
    }
    if (!m.confirmedUnderToken() || !leadership.mayAct()) {
      if (leadership.mayAct()) {
        m.recordResponseUnderToken();
      }
      done.accept(unsure(m, r));
      return;
    }
    if (m.cordoned()) {
      // What has not started there never will: without this it would stay placed for ever.
      m.tasks().values().stream().filter(p -> !p.seen() && !p.inherited()).forEach(p -> p.stop(0));
    }
    boolean free = m.tasks().isEmpty();
    int before = m.tasks().size();
    m.beginAwaitingResponse();
    reconciler.absorb(m, r, now);
    if (m.recallMs() >= 0) {
      drain(m, now);
    }
    if (m.tasks().size() < before || free) {
      scheduling.runCycleNow();
    }
    if (writePending(m)) {
      await(new Waiting(m, r, now + LONGEST_HOLD_MS, false, done));
    } else if (hasRoom(m) && reconciler.orders(m, r, false).isEmpty() && !startPending(m)) {
      // With room and nothing to do, it hears of new work at once instead of at its next report.
      await(new Waiting(m, r, now + idleHoldMs, true, done));
    } else {
      answerNow(new Waiting(m, r, now, false, done));
    }
  }

  /**
   * Whether it hears us: an answer gives it our token, and a start shows in the next report. A
   * machine that keeps reporting but does neither gets no more work and is given back. Its session
   * ends too, as no answer renews its lease.
   */
  private void listen(Machine m, WorkerMessages.Heartbeat r, long fence, long now) {
    if (m.incarnation() < 0) {
      return;
    }
    boolean missed = m.answeredUnderToken() && r.token() < fence;
    if (r.shift() > m.incarnation()) {
      missed |= m.confirmedUnderToken() && now - m.lastHeartbeatMs() < leaseMs / 2;
    } else {
      missed |= reconciler.startMissing(m, r);
    }
    if (missed) {
      m.recordMissedResponse();
    } else {
      m.clearMissedResponses();
    }
  }

  private void await(Waiting w) {
    waiting.put(w.machine(), w);
    loop.after(
        w.untilMs() - loop.nowMs(),
        () -> {
          if (waiting.remove(w.machine(), w)) {
            answerNow(w);
          }
        });
  }

  /** The worker has given up on the answer that waits: a newer report has come. */
  private void release(Machine m) {
    Waiting w = waiting.remove(m);
    if (w != null) {
      w.done().accept(unsure(m, w.report()));
    }
  }

  /**
   * Unsure of our lease, or of what is on the machine, we only keep leases alive, and stop tasks of
   * cancelled jobs: nobody takes a lease's end for proof, and a successor's token is higher. Not if
   * others are served, so that workers find them, and not for longer than is said in {@link
   * dev.windbend.peer.Peers#mayKeepWorkers}. Asked when the answer goes out, as it may have waited.
   */
  private ServerResponse unsure(Machine m, WorkerMessages.Heartbeat r) {
    return leadership.mayAct() || leadership.mayKeepWorkers()
        ? answer(m, reconciler.cancelledStops(r))
        : ServerResponse.ofStatus(503);
  }

  private static boolean hasRoom(Machine m) {
    return !m.cordoned() && !m.returning() && m.recorded() && m.freeCores() >= 1;
  }

  private static boolean startPending(Machine m) {
    for (Placement p : m.tasks().values()) {
      if (!p.seen() && p.job().startable(p)) {
        return true;
      }
    }
    return false;
  }

  /** Tasks that can save do so in time; the others may still finish before the machine goes. */
  private void drain(Machine m, long now) {
    for (Placement p : m.tasks().values()) {
      double saveS = p.job().spec().saveS();
      if (p.job().spec().checkpointS() > 0
          && now + RECALL_SLACK_MS + saveS * 1000 + 2 * reportMs >= m.recallMs()) {
        p.stop(saveS + 1);
      }
    }
  }

  private static boolean writePending(Machine m) {
    for (Placement p : m.tasks().values()) {
      if (!p.inherited() && !p.seen() && !p.stopping() && !p.job().startable(p)) {
        return true;
      }
    }
    return false;
  }

  private void answerNow(Waiting w) {
    Machine m = w.machine();
    m.endAwaitingResponse();
    boolean newest =
        m.incarnation() == w.report().shift() && m.heartbeatSequence() == w.report().tally();
    boolean act = leadership.mayAct();
    boolean mayStart = act && !m.returning() && !m.cordoned() && m.recorded();
    if (act) {
      m.recordResponseUnderToken();
    }
    w.done()
        .accept(
            newest && act
                ? answer(m, reconciler.orders(m, w.report(), mayStart))
                : unsure(m, w.report()));
  }

  private ServerResponse answer(Machine m, List<WorkerMessages.Order> orders) {
    return ServerResponse.of(200, new WorkerMessages.Orders(m.token(token), orders));
  }

  /** A job was cancelled: its machines are told at once, by answers that wait or directly. */
  public void cancelled(Job job) {
    Map<Machine, List<WorkerMessages.Order>> stops = new LinkedHashMap<>();
    for (Placement p : job.placements()) {
      Machine m = fleet.find(p.machineName());
      if (m != null && (p.seen() || p.inherited() || p.sentSequence() >= 0)) {
        stops
            .computeIfAbsent(m, k -> new ArrayList<>())
            .add(WorkerMessages.Order.stop(p.taskName(), p.attempt(), 0));
      }
    }
    stops.forEach(
        (m, orders) -> {
          Waiting w = waiting.remove(m);
          if (w != null) {
            answerNow(w);
          } else {
            directStops.send(m, m.token(token), orders);
          }
        });
  }

  /** Something was written or planned: answers that waited for it go out. */
  public void answerWaiting() {
    if (waiting.isEmpty()) {
      return;
    }
    List<Waiting> ready = new ArrayList<>();
    for (Waiting w : waiting.values()) {
      Machine m = w.machine();
      boolean news = !w.idle() || startPending(m) || (!hasRoom(m) && !writePending(m));
      if (news && !writePending(m)) {
        ready.add(w);
      }
    }
    for (Waiting w : ready) {
      if (waiting.remove(w.machine(), w)) {
        answerNow(w);
      }
    }
  }
}
