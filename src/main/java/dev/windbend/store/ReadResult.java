package dev.windbend.store;

/**
 * Result of reading one key.
 *
 * @param status whether the key was read and exists
 * @param stored the key's value and version; null unless the status is {@link Status#FOUND}
 */
public record ReadResult(Status status, VersionedValue stored) {
  /** Whether the key was read and exists. */
  public enum Status {
    /** The key exists. */
    FOUND,

    /** The key does not exist, according to the store's response. */
    NOT_FOUND,

    /** There was no valid response, so the state of the key is unknown. Retry later. */
    UNAVAILABLE
  }

  static final ReadResult NOT_FOUND = new ReadResult(Status.NOT_FOUND, null);
  static final ReadResult UNAVAILABLE = new ReadResult(Status.UNAVAILABLE, null);

  static ReadResult found(VersionedValue stored) {
    return new ReadResult(Status.FOUND, stored);
  }

  /**
   * Returns whether the store answered. If so, {@link #stored} is the key's value, or null if the
   * key does not exist.
   */
  public boolean answered() {
    return status != Status.UNAVAILABLE;
  }

  /** Returns whether the key exists. */
  public boolean found() {
    return status == Status.FOUND;
  }
}
