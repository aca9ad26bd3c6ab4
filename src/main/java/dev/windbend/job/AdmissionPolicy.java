package dev.windbend.job;

/** Decides whether a submitted job could ever run in this deployment. */
public interface AdmissionPolicy {
  /** Returns the decision on a well-formed submission; has no side effects. */
  Admission decide(JobSpec spec);

  /** Returns the maximum size of a job's record in the state service, in bytes. */
  int maxRecordBytes();
}
