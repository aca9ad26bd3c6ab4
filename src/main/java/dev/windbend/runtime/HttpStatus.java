package dev.windbend.runtime;

/** The HTTP status codes that windbend sends or tells apart. */
public final class HttpStatus {
  /** The request was carried out. */
  public static final int OK = 200;

  /** The job was accepted and stored. */
  public static final int CREATED = 201;

  /** The message is malformed. */
  public static final int BAD_REQUEST = 400;

  /** No such path, key, job or lease. */
  public static final int NOT_FOUND = 404;

  /** The path is served, but not with this method. */
  public static final int METHOD_NOT_ALLOWED = 405;

  /** A compare-and-swap failed, or another job has this id. */
  public static final int CONFLICT = 409;

  /** The body is over the limit. */
  public static final int PAYLOAD_TOO_LARGE = 413;

  /** Another controller is the leader of this machine's shard. */
  public static final int MISDIRECTED_REQUEST = 421;

  /** The job can never run. */
  public static final int UNPROCESSABLE_CONTENT = 422;

  /** The rate limit of the service called was exceeded. */
  public static final int TOO_MANY_REQUESTS = 429;

  /** Not possible now; the request may be repeated later. */
  public static final int SERVICE_UNAVAILABLE = 503;

  private HttpStatus() {}
}
