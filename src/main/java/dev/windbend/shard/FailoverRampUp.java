package dev.windbend.shard;

import dev.windbend.job.Job;
import dev.windbend.runtime.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Keeps the first rounds after a takeover from holding up what is more urgent. Workers' reports are
 * answered first, as their leases run out and the state of the tasks is rebuilt from them; rounds
 * then consider few jobs and twice as many each time. A controller that has just started runs code
 * that is not compiled yet: one round over everything took longer there than its lease lasts.
 */
final class FailoverRampUp {
  /** Reports come a quarter early or late; a machine not heard by then may not come at all. */
  private static final double REPORT_INTERVALS = 1.5;

  private static final int FIRST_JOBS = 8;

  /** No limit any more. */
  private static final int ALL_JOBS = 1 << 29;

  private static final Comparator<Job> ORDER =
      Comparator.<Job>comparingInt(job -> job.spec().urgency().rank())
          .thenComparingLong(job -> job.submittedWallMs());

  private final EventLoop loop;
  private final long longestWaitMs;
  private long takenOverMs;
  private boolean planning;
  private int jobs = FIRST_JOBS;

  FailoverRampUp(EventLoop loop, double reportS) {
    this.loop = loop;
    this.longestWaitMs = (long) (1000 * REPORT_INTERVALS * reportS);
  }

  /** The records have been read: from now on machines are waited for. */
  void takenOver() {
    takenOverMs = loop.nowMs();
  }

  /** Whether the machines taken over have all been heard, or waited for long enough. */
  boolean mayPlan(BooleanSupplier allHeard) {
    planning = planning || loop.nowMs() - takenOverMs >= longestWaitMs || allHeard.getAsBoolean();
    return planning;
  }

  /** The jobs for the next round: all of them, once so many rounds have been. */
  List<Job> next(List<Job> waiting) {
    int most = jobs;
    jobs = Math.min(ALL_JOBS, 2 * jobs);
    if (waiting.size() <= most) {
      return waiting;
    }
    List<Job> first = new ArrayList<>(waiting);
    first.sort(ORDER);
    return first.subList(0, most);
  }
}
