package dev.windbend.shard;

/** Why the tasks of a job wait, for operators. */
sealed interface WaitReason {

  /** The reason as it is logged: {@code cause=} and its values. */
  String toLogFields();

  /** The job may run in one zone only, which is unreachable. */
  record ZoneUnreachable(String zone) implements WaitReason {
    @Override
    public String toLogFields() {
      return "cause=zone_unreachable zone=" + zone;
    }
  }

  /**
   * The job's tasks fail on every machine, so it is tried again only after a time.
   *
   * @param retryInMs above 0
   */
  record Backoff(long retryInMs) implements WaitReason {
    private static final long MS_PER_SECOND = 1_000;

    @Override
    public String toLogFields() {
      long retryInSeconds = (retryInMs + MS_PER_SECOND - 1) / MS_PER_SECOND;
      return "cause=backoff retry_in_s=" + retryInSeconds;
    }
  }

  /** With another task the job's team would be over its quota. */
  record TeamQuota(double usedCores, double maxCores) implements WaitReason {
    @Override
    public String toLogFields() {
      return "cause=team_quota used_cores=%.0f max_cores=%.0f".formatted(usedCores, maxCores);
    }
  }

  /** There is capacity, kept for jobs that go first or closed to this one by zone or spread. */
  record CapacityReserved() implements WaitReason {
    @Override
    public String toLogFields() {
      return "cause=capacity_reserved";
    }
  }

  /**
   * No machine has capacity for a task.
   *
   * @param booting machines that have not reported yet
   * @param requested machines that the cloud was asked for
   * @param unavailable machines that do not report, leave or were just taken over
   * @param cloudExhausted whether the cloud has no more of some type
   */
  record NoCapacity(int booting, int requested, int unavailable, boolean cloudExhausted)
      implements WaitReason {
    @Override
    public String toLogFields() {
      return "cause=no_capacity booting=%d requested=%d unavailable=%d cloud_exhausted=%b"
          .formatted(booting, requested, unavailable, cloudExhausted);
    }
  }
}
