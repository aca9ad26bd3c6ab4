package dev.windbend.peer;

import com.fasterxml.jackson.annotation.JsonProperty;
import dev.windbend.job.Cancellations.Cancelled;
import java.util.List;

/** Messages between controllers about the state service and cancellations. */
final class PeerMessages {
  private PeerMessages() {}

  /**
   * Asks another controller whether the state service serves it.
   *
   * @param knownUpTo revision up to which the sender knows all cancellations
   */
  record StoreStatusRequest(@JsonProperty("known_up_to") long knownUpTo) {}

  /**
   * Response to a {@link StoreStatusRequest}.
   *
   * @param lastServedMsAgo milliseconds since the newest call that the state service answered was
   *     sent
   * @param cancelled all jobs that the sender may have confirmed as cancelled to users after the
   *     revision in the request; null if no complete list is available
   */
  record StoreStatus(
      @JsonProperty(value = "answered_ms_ago", required = true) long lastServedMsAgo,
      @JsonProperty("cancelled") List<Cancelled> cancelled) {}

  /** Jobs whose cancellation the sender has confirmed to users. */
  record ConfirmedCancellations(@JsonProperty("cancelled") List<Cancelled> cancelled) {}
}
