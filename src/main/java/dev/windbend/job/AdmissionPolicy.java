package dev.windbend.job;

/** Decides whether a submitted job could ever run in this deployment. */
@FunctionalInterface
public interface AdmissionPolicy {
  /** The decision on a well-formed submission; without side effects. */
  Admission decide(JobSpec spec);
}
