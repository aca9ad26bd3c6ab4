package dev.windbend.machine;

/** State of a machine's worker from its heartbeats, and whether responses reach the worker. */
public final class WorkerLiveness {
  private long incarnation = -1;
  private long heartbeatSequence = -1;
  private long lastHeartbeatMs = -1;
  private String address;
  private boolean confirmedUnderToken;
  private boolean awaitingResponse;
  private boolean answeredUnderToken;
  private int missedResponses;

  WorkerLiveness() {}

  /** Incarnation of the worker in the newest heartbeat; -1: none yet. */
  public long incarnation() {
    return incarnation;
  }

  /** Sequence number of the newest heartbeat within its incarnation; -1: none yet. */
  public long heartbeatSequence() {
    return heartbeatSequence;
  }

  /** When the newest heartbeat arrived (monotonic clock, ms); -1: none yet. */
  long lastHeartbeatMs() {
    return lastHeartbeatMs;
  }

  /** Address for direct commands, from the worker's newest heartbeat; null: unknown. */
  public String address() {
    return address;
  }

  /** Whether the newest heartbeat carried the leader's token, so that its task list is complete. */
  boolean confirmedUnderToken() {
    return confirmedUnderToken;
  }

  /** Whether a heartbeat is newer than all previous ones. */
  public boolean isNewer(long workerIncarnation, long sequence) {
    return workerIncarnation > incarnation
        || (workerIncarnation == incarnation && sequence > heartbeatSequence);
  }

  /**
   * Records the newest heartbeat of the worker.
   *
   * @param workerAddress address for direct commands; null: unknown
   * @param underLeaderToken whether it carried the token that this leader uses for the machine
   * @param nowMs monotonic clock
   */
  public void recordHeartbeat(
      long workerIncarnation,
      long sequence,
      String workerAddress,
      boolean underLeaderToken,
      long nowMs) {
    incarnation = workerIncarnation;
    heartbeatSequence = sequence;
    lastHeartbeatMs = nowMs;
    address = workerAddress;
    confirmedUnderToken = underLeaderToken;
  }

  /** Whether a heartbeat awaits its response, so that commands can be sent immediately. */
  public boolean awaitingResponse() {
    return awaitingResponse;
  }

  /** Records that the newest heartbeat awaits its response. */
  public void beginAwaitingResponse() {
    awaitingResponse = true;
  }

  /** Records that the heartbeat has been answered, or replaced by a newer one. */
  public void endAwaitingResponse() {
    awaitingResponse = false;
  }

  /** Whether the worker has been sent a response under the leader's token. */
  public boolean answeredUnderToken() {
    return answeredUnderToken;
  }

  /** Records that a heartbeat is answered under the leader's token. */
  public void recordResponseUnderToken() {
    answeredUnderToken = true;
  }

  /** Number of consecutive heartbeats that show no effect of the controller's responses. */
  public int missedResponses() {
    return missedResponses;
  }

  /** Records a heartbeat that shows no effect of the controller's responses. */
  public void recordMissedResponse() {
    missedResponses++;
  }

  /** Records a heartbeat without a sign of a missed response. */
  public void clearMissedResponses() {
    missedResponses = 0;
  }
}
