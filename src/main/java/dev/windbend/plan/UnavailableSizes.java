package dev.windbend.plan;

import java.util.ArrayList;
import java.util.List;

/**
 * Task sizes for which no machine becomes free in time. After an unsuccessful search for one job,
 * the search is skipped for jobs whose tasks are at least as large.
 */
final class UnavailableSizes {
  private final List<UnavailableSize> sizes = new ArrayList<>();

  /** No capacity of this size becomes free until the given time. */
  private record UnavailableSize(Resources size, long untilMs) {}

  void add(Resources size, long untilMs) {
    sizes.add(new UnavailableSize(size, untilMs));
  }

  boolean contains(Resources need, long untilMs) {
    for (UnavailableSize unavailable : sizes) {
      if (need.fits(unavailable.size) && untilMs <= unavailable.untilMs) {
        return true;
      }
    }
    return false;
  }

  /** Forgets all sizes. Called when capacity has been added or freed. */
  void clear() {
    sizes.clear();
  }
}
