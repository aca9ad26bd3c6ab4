package dev.windbend.store;

/**
 * What reading one key gave.
 *
 * @param stored what the key holds; null unless found
 */
public record ReadResult(Status status, VersionedValue stored) {
  /** Whether the key was read, and exists. */
  public enum Status {
    /** The key exists. */
    FOUND,

    /** The store answered that the key does not exist. */
    NOT_FOUND,

    /** No usable answer: nothing is known of the key. Read it again later. */
    UNAVAILABLE
  }

  static final ReadResult NOT_FOUND = new ReadResult(Status.NOT_FOUND, null);
  static final ReadResult UNAVAILABLE = new ReadResult(Status.UNAVAILABLE, null);

  static ReadResult found(VersionedValue stored) {
    return new ReadResult(Status.FOUND, stored);
  }

  /** The store answered, so {@link #stored} is what the key holds, null if it does not exist. */
  public boolean answered() {
    return status != Status.UNAVAILABLE;
  }

  /** The key exists. */
  public boolean found() {
    return status == Status.FOUND;
  }
}
