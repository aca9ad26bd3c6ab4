package dev.windbend.zone;

/**
 * What an owner knows of a zone's machines at one moment.
 *
 * @param responsive machines that reported lately and show the effect of our answers
 * @param silent machines of which a report is overdue
 * @param unresponsive machines that report, but show no effect of our answers
 * @param inconclusive the machines elsewhere are not heard well either, or there are none, so
 *     nothing tells a lost zone from a controller that is cut off or too slow to hear
 */
public record ZoneEvidence(int responsive, int silent, int unresponsive, boolean inconclusive) {
  /** A lone machine that is lost says nothing about its zone. */
  private static final int MIN_LOST_MACHINES = 2;

  /** A zone is lost if so many times more of its machines are lost than heard. */
  private static final int MIN_LOST_PER_RESPONSIVE = 2;

  /** It is degraded if at least one of so many machines is lost. */
  private static final int MAX_KNOWN_PER_LOST = 4;

  /** Machines that we can't command at present. */
  public int lost() {
    return silent + unresponsive;
  }

  public int known() {
    return responsive + lost();
  }

  /** Nearly all of the zone at once. Machines that the cloud takes back in a wave are fewer. */
  boolean isZoneLost() {
    return !inconclusive
        && lost() >= MIN_LOST_MACHINES
        && lost() > MIN_LOST_PER_RESPONSIVE * responsive;
  }

  boolean isPartlyLost() {
    return !inconclusive && lost() >= MIN_LOST_MACHINES && MAX_KNOWN_PER_LOST * lost() >= known();
  }

  /** Most machines are heard; or none is left that could tell, and the zone has to be tried. */
  boolean isMostlyResponsive() {
    return known() == 0 || responsive > lost();
  }

  /** For logs. */
  @Override
  public String toString() {
    return "heard %d, silent %d, deaf %d%s"
        .formatted(
            responsive,
            silent,
            unresponsive,
            inconclusive ? ", this controller may be cut off itself" : "");
  }
}
