package dev.windbend.runtime;

/** Size limits of the HTTP messages of the protocol, in bytes. */
public final class MessageLimits {
  /** Maximum size of the body of any request, to a controller or to a worker. */
  public static final int MAX_REQUEST_BYTES = 64 * 1024;

  /** Maximum length of a line in a response to a user or a worker. */
  public static final int MAX_RESPONSE_LINE_BYTES = 64 * 1024;

  private MessageLimits() {}
}
