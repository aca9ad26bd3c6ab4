package dev.windbend.plan;

import java.util.ArrayList;
import java.util.List;

/**
 * Sizes of tasks that no machine gets free for in time. What one job was searched for in vain need
 * not be searched for again by another job of at least its size.
 */
final class UnavailableSizes {
  private final List<UnavailableSize> sizes = new ArrayList<>();

  /** Nothing of this size gets free before that time. */
  private record UnavailableSize(Resources size, long untilMs) {}

  void add(Resources size, long untilMs) {
    sizes.add(new UnavailableSize(size, untilMs));
  }

  boolean contains(Resources need, long untilMs) {
    for (UnavailableSize exhausted : sizes) {
      if (need.fits(exhausted.size) && untilMs <= exhausted.untilMs) {
        return true;
      }
    }
    return false;
  }

  /** There is capacity that was not there before. */
  void clear() {
    sizes.clear();
  }
}
