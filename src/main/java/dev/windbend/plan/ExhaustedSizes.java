package dev.windbend.plan;

import java.util.ArrayList;
import java.util.List;

/**
 * Sizes of tasks that no machine gets free for in time. What one job was searched for in vain need
 * not be searched for again by another job of at least its size.
 */
final class ExhaustedSizes {
  private final List<Exhausted> all = new ArrayList<>();

  /** Nothing of this size gets free before that time. */
  private record Exhausted(Resources size, long untilMs) {}

  void add(Resources size, long untilMs) {
    all.add(new Exhausted(size, untilMs));
  }

  boolean contains(Resources need, long untilMs) {
    for (Exhausted exhausted : all) {
      if (need.fits(exhausted.size) && untilMs <= exhausted.untilMs) {
        return true;
      }
    }
    return false;
  }

  /** There is capacity that was not there before. */
  void clear() {
    all.clear();
  }
}
