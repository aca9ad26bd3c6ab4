package dev.windbend.runtime;

/** The HTTP status codes that windbend sends or distinguishes. */
public final class HttpStatus {
  /** The request was executed. */
  public static final int OK = 200;

  /** The job was accepted and stored. */
  public static final int CREATED = 201;

  /** The message is malformed. */
  public static final int BAD_REQUEST = 400;

  /** The path, key, job or lease does not exist. */
  public static final int NOT_FOUND = 404;

  /** The path does not support the method. */
  public static final int METHOD_NOT_ALLOWED = 405;

  /** The request was not complete within the time limit. */
  public static final int REQUEST_TIMEOUT = 408;

  /** A compare-and-swap failed, or the id belongs to another job. */
  public static final int CONFLICT = 409;

  /** The body exceeds the size limit. */
  public static final int PAYLOAD_TOO_LARGE = 413;

  /** Another controller is the leader of the machine's shard. */
  public static final int MISDIRECTED_REQUEST = 421;

  /** The job can never run. */
  public static final int UNPROCESSABLE_CONTENT = 422;

  /** The rate limit of the called service was exceeded. */
  public static final int TOO_MANY_REQUESTS = 429;

  /** The request cannot be executed now; the client may retry it later. */
  public static final int SERVICE_UNAVAILABLE = 503;

  private HttpStatus() {}
}
