package dev.windbend.runtime;

/**
 * The response to a request that this process sent.
 *
 * @param status the HTTP status; 0 if no response was received, in which case the request may have
 *     been executed, may still be executed, or may never be executed
 * @param body the body; empty if the response has none
 */
public record ClientResponse(int status, byte[] body) {
  /** No response was received within the timeout, or no connection could be opened. */
  public static final ClientResponse NO_RESPONSE = new ClientResponse(0, new byte[0]);

  /** Returns whether the status is 200. */
  public boolean ok() {
    return status == HttpStatus.OK;
  }
}
