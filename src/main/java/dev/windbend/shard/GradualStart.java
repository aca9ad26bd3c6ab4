package dev.windbend.shard;

import dev.windbend.daemon.io.EventLoop;
import dev.windbend.job.Job;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;

/**
 * Keeps the first rounds after a takeover from holding up what is more urgent. Workers' reports are
 * answered first, as their leases run out and the state of the tasks is rebuilt from them; rounds
 * then consider few jobs, and more as long as rounds turn out to be quick. A controller that has
 * just started runs code that is not compiled yet: one round over everything took longer there than
 * its lease lasts.
 */
final class GradualStart {
  /** Reports come a quarter early or late; a machine not heard by then may not come at all. */
  private static final double REPORT_INTERVALS = 1.5;

  /** On a large fleet some machines are always gone: so many of a hundred are not waited for. */
  private static final int MISSING_PERCENT = 10;

  private static final int FIRST_JOBS = 8;

  /** No shard has as many. */
  private static final int MOST_JOBS = 1 << 24;

  /** After a round that is over this quickly, the next one considers many more jobs. */
  private static final long QUICK_MS = 100;

  private static final int QUICK_GROWTH = 8;

  private static final int GROWTH = 2;

  /** A round that takes this long could cost the lease if it were any longer: no growth. */
  private static final long SLOW_MS = 1_000;

  /** From then on rounds consider all jobs, whatever they cost: leaving jobs out costs more. */
  private static final long LONGEST_MS = 15_000;

  private static final Comparator<Job> ORDER =
      Comparator.<Job>comparingInt(job -> job.spec.urgency().rank())
          .thenComparingLong(job -> job.submittedWallMs);

  /** How many machines were taken over, and how many of them have reported since. */
  record Inherited(int machines, int heard) {
    private boolean enough() {
      return 100L * (machines - heard) <= (long) MISSING_PERCENT * machines;
    }
  }

  private final EventLoop loop;
  private final long longestWaitMs;
  private long takenOverMs;
  private boolean planning;
  private boolean unlimited;
  private int jobs = FIRST_JOBS;

  /**
   * @param mostWaitMs the operators' bound on the time until the first round
   */
  GradualStart(EventLoop loop, double reportS, long mostWaitMs) {
    this.loop = loop;
    this.takenOverMs = loop.nowMs();
    this.longestWaitMs = Math.min(mostWaitMs, (long) (1000 * REPORT_INTERVALS * reportS));
  }

  /** The records have been read: from now on machines are waited for. */
  void takenOver() {
    takenOverMs = loop.nowMs();
  }

  /** Whether enough of the machines taken over were heard, or waited for long enough. */
  boolean mayPlan(Supplier<Inherited> inherited) {
    planning = planning || loop.nowMs() - takenOverMs >= longestWaitMs || inherited.get().enough();
    return planning;
  }

  /** The jobs for the next round: all of them, once rounds have been quick enough. */
  List<Job> next(List<Job> waiting) {
    unlimited = unlimited || loop.nowMs() - takenOverMs >= LONGEST_MS;
    if (unlimited || waiting.size() <= jobs) {
      return waiting;
    }
    List<Job> first = new ArrayList<>(waiting);
    first.sort(ORDER);
    return first.subList(0, jobs);
  }

  /**
   * Takes note of a round.
   *
   * @param partial it left out jobs
   */
  void roundTook(long costMs, boolean partial) {
    if (costMs >= SLOW_MS) {
      return;
    }
    unlimited = unlimited || !partial;
    jobs = Math.min(MOST_JOBS, jobs * (costMs <= QUICK_MS ? QUICK_GROWTH : GROWTH));
  }
}
