package dev.windbend.machine;

/** What the heartbeats of a machine's worker tell, and whether our responses reach it. */
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

  /** When the newest heartbeat came (steady clock, ms); -1: none yet. */
  long lastHeartbeatMs() {
    return lastHeartbeatMs;
  }

  /** Where it takes direct commands, as its newest heartbeat says; null: not known. */
  public String address() {
    return address;
  }

  /** Its newest heartbeat carried our token: what it lists is all there is. */
  boolean confirmedUnderToken() {
    return confirmedUnderToken;
  }

  /** Whether a heartbeat is newer than all before. */
  public boolean isNewer(long workerIncarnation, long sequence) {
    return workerIncarnation > incarnation
        || (workerIncarnation == incarnation && sequence > heartbeatSequence);
  }

  /**
   * Takes in what its newest heartbeat says of the agent.
   *
   * @param workerAddress where it takes direct commands; null: not known
   * @param underLeaderToken whether it carried the token that this shard uses for the machine
   * @param nowMs steady clock
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

  /** A heartbeat of it waits for its response, so it can be sent something at once. */
  public boolean awaitingResponse() {
    return awaitingResponse;
  }

  /** Its newest heartbeat has no response yet. */
  public void beginAwaitingResponse() {
    awaitingResponse = true;
  }

  /** Its heartbeat has its response, or has been replaced by a newer one. */
  public void endAwaitingResponse() {
    awaitingResponse = false;
  }

  /** We have answered it under our token. */
  public boolean answeredUnderToken() {
    return answeredUnderToken;
  }

  /** A heartbeat of it is answered under our token. */
  public void recordResponseUnderToken() {
    answeredUnderToken = true;
  }

  /** How many heartbeats one after the other show no effect of our responses. */
  public int missedResponses() {
    return missedResponses;
  }

  /** A heartbeat shows no effect of our responses. */
  public void recordMissedResponse() {
    missedResponses++;
  }

  /** A heartbeat gives no sign of a missed response. */
  public void clearMissedResponses() {
    missedResponses = 0;
  }
}
