package dev.windbend.job;

/** Decides whether a submitted job could ever run in this deployment. */
@FunctionalInterface
public interface AdmissionPolicy {
  /** Returns the decision on a well-formed submission; has no side effects. */
  Admission decide(JobSpec spec);
}
