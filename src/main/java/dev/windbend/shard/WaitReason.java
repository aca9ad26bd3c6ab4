package dev.windbend.shard;

/** Why the tasks of a job wait, as reported to operators. */
sealed interface WaitReason {

  /** The reason as fields of a log line: {@code cause=} and the values that belong to it. */
  String toLogFields();

  /** The job is restricted to one zone, which is unreachable. */
  record ZoneUnreachable(String zone) implements WaitReason {
    @Override
    public String toLogFields() {
      return "cause=zone_unreachable zone=" + zone;
    }
  }

  /**
   * The job's tasks fail on every machine, so the job is retried only after a delay.
   *
   * @param retryInMs time until the next attempt; greater than 0
   */
  record Backoff(long retryInMs) implements WaitReason {
    private static final long MS_PER_SECOND = 1_000;

    @Override
    public String toLogFields() {
      long retryInSeconds = (retryInMs + MS_PER_SECOND - 1) / MS_PER_SECOND;
      return "cause=backoff retry_in_s=" + retryInSeconds;
    }
  }

  /** Another task of the job would exceed its team's quota. */
  record TeamQuota(double usedCores, double maxCores) implements WaitReason {
    @Override
    public String toLogFields() {
      return "cause=team_quota used_cores=%.0f max_cores=%.0f".formatted(usedCores, maxCores);
    }
  }

  /**
   * A machine has capacity, but the capacity is reserved for jobs of higher precedence, or the
   * job's zone or spread constraint excludes it.
   */
  record CapacityReserved() implements WaitReason {
    @Override
    public String toLogFields() {
      return "cause=capacity_reserved";
    }
  }

  /**
   * No machine has capacity for a task.
   *
   * @param booting machines that have not sent a heartbeat yet
   * @param requested machines that were requested from the cloud and have not been granted yet
   * @param unavailable machines that have sent a heartbeat but cannot be used now: machines that
   *     stopped reporting, are leaving the shard, or were inherited in a failover and are not
   *     confirmed yet
   * @param cloudExhausted whether the cloud has recently refused at least one kind of machine
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
