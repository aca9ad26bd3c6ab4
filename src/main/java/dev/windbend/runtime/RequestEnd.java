package dev.windbend.runtime;

/** How the reading of a request's body ended. */
public enum RequestEnd {
  /** The body was read completely. */
  COMPLETE(HttpStatus.OK),

  /** The body exceeds {@link MessageLimits#MAX_REQUEST_BYTES}. */
  TOO_LARGE(HttpStatus.PAYLOAD_TOO_LARGE),

  /** The connection ended within the body, or a chunk of the body is malformed. */
  BROKEN(HttpStatus.BAD_REQUEST),

  /** The body was not complete within the time limit. */
  TIMED_OUT(HttpStatus.REQUEST_TIMEOUT);

  private final int rejectionStatus;

  RequestEnd(int rejectionStatus) {
    this.rejectionStatus = rejectionStatus;
  }

  /** Returns the HTTP status with which a request that was not read completely is rejected. */
  int rejectionStatus() {
    return rejectionStatus;
  }
}
