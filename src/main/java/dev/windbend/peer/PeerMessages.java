package dev.windbend.peer;

import com.fasterxml.jackson.annotation.JsonProperty;
import dev.windbend.job.Cancellations.Cancelled;
import java.util.List;

/** What controllers say to one another about the state service and cancellations. */
final class PeerMessages {
  private PeerMessages() {}

  /**
   * Asks whether the state service serves the controller asked.
   *
   * @param knownUpTo the asker knows of all cancellations up to this revision
   */
  record StoreStatusRequest(@JsonProperty("known_up_to") long knownUpTo) {}

  /**
   * Answers that.
   *
   * @param lastServedMsAgo how long ago a call was sent that the state service answered
   * @param cancelled all jobs of which users may have been told that they are cancelled, beyond
   *     what the asker knows; null: not known
   */
  record StoreStatus(
      @JsonProperty("answered_ms_ago") long lastServedMsAgo,
      @JsonProperty("cancelled") List<Cancelled> cancelled) {}

  /** Jobs whose cancellation the sender has confirmed to users. */
  record ConfirmedCancellations(@JsonProperty("cancelled") List<Cancelled> cancelled) {}
}
