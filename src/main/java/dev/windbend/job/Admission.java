package dev.windbend.job;

/** What an {@link AdmissionPolicy} decided on a submission. */
public sealed interface Admission {
  /** The job is admitted. */
  Admission ADMITTED = new Admitted();

  /** Nothing can be decided yet; the user is asked to submit again later. */
  Admission UNDECIDED = new Undecided();

  /** The job can run. */
  record Admitted() implements Admission {}

  /**
   * The job can never run.
   *
   * @param reason why, for the user
   */
  record Rejected(String reason) implements Admission {}

  /** What the decision depends on is not known yet. */
  record Undecided() implements Admission {}
}
