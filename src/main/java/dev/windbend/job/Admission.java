package dev.windbend.job;

/** The decision of an {@link AdmissionPolicy} on a submission. */
public sealed interface Admission {
  /** The job is admitted. */
  Admission ADMITTED = new Admitted();

  /** No decision is possible yet; the user is asked to submit the job again later. */
  Admission UNDECIDED = new Undecided();

  /** The job can run. */
  record Admitted() implements Admission {}

  /**
   * The job can never run.
   *
   * @param reason the reason, for the user
   */
  record Rejected(String reason) implements Admission {}

  /** Information that the decision depends on is not available yet. */
  record Undecided() implements Admission {}
}
