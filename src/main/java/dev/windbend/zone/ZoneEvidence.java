package dev.windbend.zone;

/**
 * What an owner knows of a zone's machines at one moment.
 *
 * @param heard machines that reported lately and show the effect of our answers
 * @param silent machines of which a report is overdue
 * @param deaf machines that report, but show no effect of our answers
 * @param isolated the machines elsewhere are not heard well either, or there are none, so nothing
 *     tells a lost zone from a controller that is cut off or too slow to hear
 */
public record ZoneEvidence(int heard, int silent, int deaf, boolean isolated) {
  /** A lone machine that is lost says nothing about its zone. */
  private static final int FEWEST_LOST = 2;

  /** A zone is lost if so many times more of its machines are lost than heard. */
  private static final int LOST_FACTOR = 2;

  /** It is degraded if at least one of so many machines is lost. */
  private static final int DEGRADED_PART = 4;

  /** Machines that we can't command at present. */
  public int lost() {
    return silent + deaf;
  }

  public int known() {
    return heard + lost();
  }

  /** Nearly all of the zone at once. Machines that the cloud takes back in a wave are fewer. */
  boolean zoneLost() {
    return !isolated && lost() >= FEWEST_LOST && lost() > LOST_FACTOR * heard;
  }

  boolean partlyLost() {
    return !isolated && lost() >= FEWEST_LOST && DEGRADED_PART * lost() >= known();
  }

  /** Most machines are heard; or none is left that could tell, and the zone has to be tried. */
  boolean mostlyHeard() {
    return known() == 0 || heard > lost();
  }

  /** For logs. */
  @Override
  public String toString() {
    return "heard %d, silent %d, deaf %d%s"
        .formatted(heard, silent, deaf, isolated ? ", this controller may be cut off itself" : "");
  }
}
